package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

func limitOf(server string, perSecond float64) model.ServerNotice {
	return model.ServerNotice{Server: model.BackendServerID(server), Incarnation: 1, Limit: perSecond}
}

// limitedLoad drives schedulers with more requests than their servers take, and records the grants.
type limitedLoad struct {
	seq     uint64
	running map[time.Time][]func(time.Time)
	granted map[model.BackendServerID][]time.Time
}

func newLimitedLoad() *limitedLoad {
	return &limitedLoad{running: make(map[time.Time][]func(time.Time)), granted: make(map[model.BackendServerID][]time.Time)}
}

const (
	loadStep = 20 * time.Millisecond
	loadTook = 300 * time.Millisecond
)

// run asks each scheduler for a server in turn, one request each step, until the end. offsets shift the
// clocks of the schedulers.
func (l *limitedLoad) run(from, to time.Time, service string, schedulers []*schedule.Scheduler, offsets []time.Duration, named func(s *schedule.Scheduler, now time.Time)) {
	for now := from; now.Before(to); now = now.Add(loadStep) {
		for _, do := range l.running[now] {
			do(now)
		}
		delete(l.running, now)
		for i, s := range schedulers {
			own := now.Add(offsets[i])
			if named != nil && now.Sub(from)%(2*time.Second) == 0 {
				named(s, own)
			}
			s.Tick(own)
			if l.seq++; l.seq%uint64(len(schedulers)) == uint64(i) || len(schedulers) > 1 && now.Sub(from)%(100*time.Millisecond) == 0 {
				s.Submit(own, want(l.seq, service, 0, own))
			}
			for _, d := range granted(s.Take()) {
				l.granted[d.Server.ID] = append(l.granted[d.Server.ID], now)
				end := now.Add(loadTook)
				l.running[end] = append(l.running[end], func(at time.Time) { finish(s, at.Add(offsets[i]), d) })
			}
		}
	}
}

// most returns the largest number of grants of a server in any 4 s, and the mean rate since a time.
func (l *limitedLoad) most(server string, from, to time.Time) (most int, rate float64) {
	var times []time.Time
	for _, at := range l.granted[model.BackendServerID(server)] {
		if !at.Before(from) && at.Before(to) {
			times = append(times, at)
		}
	}
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(times)) / to.Sub(from).Seconds()
}

// allowedIn4s is what users allow a server with a limit to get in 4 s.
func allowedIn4s(limit float64) int { return int(1.5*4*limit) + 5 }

// Guards against a server that gets more requests than the limit that it has named, and against one that is
// left idle because of it.
func TestTheDispatcherKeepsALimit(t *testing.T) {
	for _, limit := range []float64{0.1, 0.7, 1.6, 3, 5.2} {
		g := NewWithT(t)
		s := newFleet(4, 0)
		l := newLimitedLoad()
		l.run(start, start.Add(30*time.Second), "llm", []*schedule.Scheduler{s}, []time.Duration{0}, func(s *schedule.Scheduler, now time.Time) {
			s.HandleNotice(now, "i", limitOf("e0", limit))
		})
		most, rate := l.most("e0", start, start.Add(30*time.Second))
		g.Expect(most).To(BeNumerically("<=", allowedIn4s(limit)))
		g.Expect(rate).To(BeNumerically("~", limit, 0.1+0.1*limit), "limit %v", limit)
		_, free := l.most("e1", start, start.Add(30*time.Second))
		g.Expect(free).To(BeNumerically(">", 5), "a server without a limit")
	}
}

// Guards against instances that decide alone and exceed a limit together: for engines, whose slots they
// divide, and for plain servers, which all of them use. Their clocks differ.
func TestInstancesThatDecideAloneKeepALimitTogether(t *testing.T) {
	const instances = 12
	for service, server := range map[string]string{"llm": "e0", "desk": "p0"} {
		for _, limit := range []float64{0.7, 1.6, 5.2} {
			t.Run(fmt.Sprint(service, " ", limit), func(t *testing.T) {
				g := NewWithT(t)
				random := rand.New(rand.NewPCG(1, 2))
				var schedulers []*schedule.Scheduler
				var offsets []time.Duration
				for i := range instances {
					s := newFleet(14, 1)
					s.SetPartition(start, i, instances)
					schedulers = append(schedulers, s)
					offsets = append(offsets, time.Duration(random.Int64N(int64(time.Hour))))
				}
				l := newLimitedLoad()
				l.run(start, start.Add(30*time.Second), service, schedulers, offsets, func(s *schedule.Scheduler, now time.Time) {
					s.HandleNotice(now, "i", limitOf(server, limit))
				})
				most, rate := l.most(server, start, start.Add(30*time.Second))
				g.Expect(most).To(BeNumerically("<=", allowedIn4s(limit)))
				g.Expect(rate).To(BeNumerically("<=", 1.2*limit))
				g.Expect(rate).To(BeNumerically(">", 0.2*limit))
			})
		}
	}
}

// Guards against a limit that is used once by the dispatcher, once by the instances that decide alone after
// its loss, and once more by the next dispatcher.
func TestALimitHoldsAcrossAChangeOfTheDispatcher(t *testing.T) {
	g := NewWithT(t)
	const limit = 1.6
	named := func(s *schedule.Scheduler, now time.Time) { s.HandleNotice(now, "i", limitOf("e0", limit)) }
	l := newLimitedLoad()
	l.run(start, start.Add(10*time.Second), "llm", []*schedule.Scheduler{newFleet(14, 0)}, []time.Duration{0}, named)
	var alone []*schedule.Scheduler
	for i := range 12 {
		s := newFleet(14, 0)
		s.SetPartition(start, i, 12)
		alone = append(alone, s)
	}
	l.run(start.Add(10*time.Second), start.Add(12*time.Second), "llm", alone, make([]time.Duration, 12), named)
	l.run(start.Add(12*time.Second), start.Add(20*time.Second), "llm", []*schedule.Scheduler{newFleet(14, 0)}, []time.Duration{0}, named)
	most, _ := l.most("e0", start, start.Add(20*time.Second))
	g.Expect(most).To(BeNumerically("<=", allowedIn4s(limit)))
}

// Guards against a limit that outlives its naming, its server or its withdrawal, and against debts from the
// time without one.
func TestALimitEnds(t *testing.T) {
	rateOf := func(l *limitedLoad, from, to time.Duration) float64 {
		_, rate := l.most("e0", start.Add(from), start.Add(to))
		return rate
	}
	for name, c := range map[string]struct {
		end    func(s *schedule.Scheduler, now time.Time)
		within time.Duration
	}{
		"withdrawn": {end: func(s *schedule.Scheduler, now time.Time) {
			s.HandleNotice(now, "i", model.ServerNotice{Server: "e0", Incarnation: 1, LimitEnded: true})
		}},
		"not named any more": {end: func(*schedule.Scheduler, time.Time) {}, within: 10 * time.Second},
		"another incarnation": {end: func(s *schedule.Scheduler, now time.Time) {
			again := record("e0", "llm")
			again.Incarnation = 2
			s.SetServers(now, []model.BackendServer{again})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, l := newFleet(1, 0), newLimitedLoad()
			one, zero := []*schedule.Scheduler{s}, []time.Duration{0}
			l.run(start, start.Add(5*time.Second), "llm", one, zero, nil)
			s.HandleNotice(start.Add(5*time.Second), "i", limitOf("e0", 1))
			l.run(start.Add(5*time.Second), start.Add(10*time.Second), "llm", one, zero, nil)
			c.end(s, start.Add(10*time.Second))
			l.run(start.Add(10*time.Second), start.Add(25*time.Second), "llm", one, zero, nil)
			s.HandleNotice(start.Add(25*time.Second), "i", model.ServerNotice{Server: "e0", Incarnation: 2, Limit: 2})
			s.HandleNotice(start.Add(25*time.Second), "i", limitOf("e0", 2))
			l.run(start.Add(25*time.Second), start.Add(30*time.Second), "llm", one, zero, nil)
			g.Expect(rateOf(l, 0, 5*time.Second)).To(BeNumerically(">", 4), "without a limit")
			g.Expect(rateOf(l, 5*time.Second, 10*time.Second)).To(BeNumerically("~", 1, 0.3))
			g.Expect(rateOf(l, 10*time.Second+c.within, 25*time.Second)).To(BeNumerically(">", 4), "after its end")
			g.Expect(rateOf(l, 25*time.Second, 30*time.Second)).To(BeNumerically("~", 2, 0.5), "the next limit")
		})
	}
}

// Guards against requests that wait in vain, or are told nothing of use, when the limits of all servers leave
// no room: most are refused on arrival, with a time to come back.
func TestRequestsBeyondTheLimitsOfAllServersAreDenied(t *testing.T) {
	g := NewWithT(t)
	s := newFleet(2, 0)
	for _, id := range []string{"e0", "e1"} {
		s.HandleNotice(start, "i", limitOf(id, 0.5))
	}
	denied := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		s.Submit(now, want(uint64(i), "llm", 0, now))
		for _, d := range s.Take() {
			if d.Denied {
				denied++
				g.Expect(d.Reason).To(Equal(schedule.DeniedQueue))
				g.Expect(d.RetryAfter).To(BeNumerically(">=", 200*time.Millisecond))
				g.Expect(d.Inputs.Limited).To(Equal(2))
			}
		}
	}
	g.Expect(denied).To(BeNumerically(">", 50))
	g.Expect(s.Waiting()).To(BeNumerically(">", 0))
}

// Guards against a limit that is used up by grants whose requests were never sent.
func TestAnUnusedGrantCostsNothingOfALimit(t *testing.T) {
	g := NewWithT(t)
	s := newFleet(1, 0)
	s.HandleNotice(start, "i", limitOf("e0", 0.5))
	for n := range 5 {
		now := start.Add(2 * time.Second)
		s.Submit(now, want(uint64(n), "llm", 0, now))
		d := granted(s.Take())
		g.Expect(d).To(HaveLen(1), "grant %d", n)
		s.Report(now, schedule.Report{ID: d[0].ID, Server: "e0", Outcome: schedule.Unused})
	}
}

// Guards against short requests that use up the limits of servers while long ones fill the slots of the
// others: a burst of both, with most servers limited by number and hardly loaded.
func TestLongRequestsGetTheLimitsOfServers(t *testing.T) {
	g := NewWithT(t)
	s := newFleet(2, 0)
	s.HandleNotice(start, "i", limitOf("e0", 1))
	now := start.Add(1200 * time.Millisecond)
	s.HandleNotice(now, "i", limitOf("e0", 1))
	occupy(s, 1, 2)
	long := want(2, "llm", 1, now)
	long.Expected, long.Output, long.Deadline = 400, 800, now.Add(20*time.Second)
	short := want(1, "llm", 0, now)
	short.Expected = 4
	s.Submit(now, short)
	g.Expect(granted(s.Take())).To(BeEmpty(), "a slot elsewhere will do, and there is time")
	s.Submit(now, long)
	d := granted(s.Take())
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].ID.Seq).To(Equal(uint64(2)))
	g.Expect(d[0].Server.ID).To(Equal(model.BackendServerID("e0")))
}

// Guards against an urgent request that becomes late because it leaves a limit to others.
func TestAShortRequestUsesALimitBeforeItIsLate(t *testing.T) {
	g := NewWithT(t)
	s := newFleet(2, 0)
	s.HandleNotice(start, "i", limitOf("e0", 0.8))
	now := start.Add(1300 * time.Millisecond)
	occupy(s, 1, 2)
	short := want(1, "llm", 0, now)
	short.Expected = 4
	s.Submit(now, short)
	g.Expect(granted(s.Take())).To(BeEmpty())
	var at time.Duration
	for at = 0; at < 400*time.Millisecond; at += 10 * time.Millisecond {
		s.Tick(now.Add(at))
		if len(granted(s.Take())) == 1 {
			break
		}
	}
	g.Expect(at).To(BeNumerically("<", 350*time.Millisecond))
}
