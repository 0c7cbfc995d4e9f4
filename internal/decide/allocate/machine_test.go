package allocate_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briaryard/internal/decide/allocate"
	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

var start = time.Unix(1000, 0)

func newMachine() *allocate.Machine {
	m := allocate.New("i", allotment.Tolerance{})
	m.SetDocument(start, &model.RouteConfig{Services: map[model.PoolID]model.RoutedService{"s": {ID: "s"}}})
	m.SetServers(start, []model.BackendServer{{ID: "b", Incarnation: 1, State: model.Alive, Pools: []model.PoolID{"s"}, Slots: 100}})
	return m
}

func want(seq uint64, now time.Time) schedule.Request {
	return schedule.Request{
		ID: model.RequestID{Instance: "i", Incarnation: 1, Seq: seq}, Service: "s", Arrived: now,
		StartTarget: now.Add(time.Second), StartDeadline: now.Add(3 * time.Second), Deadline: now.Add(3 * time.Second),
	}
}

func effectsOf[T allocate.Effect](effects []allocate.Effect) (out []T) {
	for _, e := range effects {
		if v, ok := e.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

// join makes the machine follow a dispatcher and returns the session.
func join(t *testing.T, m *allocate.Machine, now time.Time) uint64 {
	t.Helper()
	m.SetDispatcher(now, "d")
	joins := effectsOf[allocate.Join](m.Take())
	if len(joins) != 1 {
		t.Fatalf("%d joins", len(joins))
	}
	m.Joined(now, "d", joins[0].Session)
	return joins[0].Session
}

// Guards against requests that wait for an election: without a dispatcher, the instance decides alone.
func TestWithoutADispatcherTheInstanceDecides(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.Submit(start, want(1, start))
	d := effectsOf[allocate.Decided](m.Take())
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].LocalDecision).To(BeTrue())
}

// Guards against requests that are lost with a dispatcher that has crashed, is paused or is partitioned.
func TestASilentDispatcherIsLeft(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	join(t, m, start)
	m.Submit(start, want(1, start))
	g.Expect(effectsOf[allocate.Submit](m.Take())).To(HaveLen(1))
	m.Tick(start.Add(150 * time.Millisecond))
	g.Expect(effectsOf[allocate.Decided](m.Take())).To(BeEmpty())
	m.Tick(start.Add(250 * time.Millisecond))
	g.Expect(effectsOf[allocate.Decided](m.Take())).To(HaveLen(1))
}

// Guards against leaving a dispatcher that keeps a request waiting but sends heartbeats.
func TestABeatKeepsTheDispatcher(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	session := join(t, m, start)
	m.Submit(start, want(1, start))
	m.Take()
	for i := range 20 {
		now := start.Add(time.Duration(i) * allocate.HeartbeatInterval)
		m.HandleHeartbeat(now, "d", session)
		m.Tick(now)
	}
	g.Expect(effectsOf[allocate.Decided](m.Take())).To(BeEmpty())
}

// Guards against a slot that stays taken by a late decision of an earlier session, and against a request
// with decisions of two schedulers.
func TestDecisionsOfAnEarlierSessionAreVoid(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	session := join(t, m, start)
	m.Submit(start, want(1, start))
	m.Take()
	m.Reset(start, "d")
	effects := m.Take()
	g.Expect(effectsOf[allocate.Decided](effects)).To(HaveLen(1))
	g.Expect(effectsOf[allocate.Join](effects)[0].Session).To(BeNumerically(">", session))
	m.HandleDecision(start, "d", session, schedule.Decision{ID: want(1, start).ID, Server: model.BackendServer{ID: "b"}})
	g.Expect(m.Take()).To(BeEmpty())
}

// Guards against a new dispatcher that does not know the granted requests and grants their slots again.
func TestANewDispatcherGetsAFullAccount(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.Submit(start, want(1, start))
	m.Submit(start, want(2, start))
	m.Take()
	m.Report(start, schedule.Report{ID: want(2, start).ID, Server: "b", Outcome: schedule.Finished})
	m.SetDispatcher(start, "d")
	session := effectsOf[allocate.Join](m.Take())[0].Session
	m.Joined(start, "d", session)
	grantedWork := effectsOf[allocate.GrantedWork](m.Take())
	g.Expect(grantedWork).To(HaveLen(1))
	g.Expect(grantedWork[0].Works).To(HaveLen(1))
	g.Expect(grantedWork[0].Works[0].ID.Seq).To(Equal(uint64(1)))
}

// Guards against a leaked slot when a grant crosses the withdrawal of its request: the dispatcher must
// be told that the grant is unused.
func TestAGrantThatCrossesAWithdrawalIsReturned(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	session := join(t, m, start)
	m.Submit(start, want(1, start))
	m.Withdraw(start, want(1, start).ID)
	m.Take()
	m.HandleDecision(start, "d", session, schedule.Decision{ID: want(1, start).ID, Server: model.BackendServer{ID: "b"}})
	tell := effectsOf[allocate.SendReport](m.Take())
	g.Expect(tell).To(HaveLen(1))
	g.Expect(tell[0].Report.Outcome).To(Equal(schedule.Unused))
	g.Expect(tell[0].Report.Refund).To(BeTrue())
}

// Guards against a request without a decision, or with two, for any sequence of dispatcher losses.
func TestOneDecisionUnderAnyLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		now := start
		decided := make(map[uint64]int)
		sessions := map[model.InstanceID]uint64{}
		var atDispatcher []allocate.Submit
		seq := uint64(0)
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				seq++
				m.Submit(now, want(seq, now))
			case 2:
				m.SetDispatcher(now, rapid.SampledFrom([]model.InstanceID{"", "d", "e"}).Draw(t, "dispatcher"))
			case 3:
				m.Reset(now, "d")
			case 4:
				m.Unreachable(now, "e")
			case 5:
				for _, a := range atDispatcher {
					m.HandleDecision(now, a.To, a.Session, schedule.Decision{ID: a.Request.ID, Denied: rapid.Bool().Draw(t, "denied")})
				}
				atDispatcher = nil
			}
			m.Tick(now)
			for _, e := range m.Take() {
				switch e := e.(type) {
				case allocate.Join:
					sessions[e.To] = e.Session
					if rapid.Bool().Draw(t, "joined") {
						m.Joined(now, e.To, e.Session)
					}
				case allocate.Submit:
					atDispatcher = append(atDispatcher, e)
				case allocate.Decided:
					if decided[e.ID.Seq]++; decided[e.ID.Seq] > 1 {
						t.Fatalf("request %d is decided twice", e.ID.Seq)
					}
				}
			}
		}
		m.SetDispatcher(now, "")
		for range 200 {
			now = now.Add(25 * time.Millisecond)
			m.Tick(now)
			for _, d := range effectsOf[allocate.Decided](m.Take()) {
				decided[d.ID.Seq]++
			}
		}
		if len(decided) != int(seq) {
			t.Fatalf("%d of %d requests are decided", len(decided), seq)
		}
	})
}

// Guards against an allotment that is handed out by the dispatcher, again by the instances when it is
// lost, and a third time by its successor.
func TestLosingTheDispatcherHandsOutNothingTwice(t *testing.T) {
	g := NewWithT(t)
	tolerance := allotment.Tolerance{Overage: 0.1, Slack: 72_000, Window: 8 * time.Second}
	const rate, instances, tokens = 72_000, 12, 1500
	document := &model.RouteConfig{
		Services: map[model.PoolID]model.RoutedService{"s": {ID: "s"}},
		Teams:    []model.RoutedTeam{{ID: "t", Allotment: &model.Allotment{Rate: rate, Burst: rate, CountTokens: true}}},
	}
	servers := []model.BackendServer{{ID: "b", Incarnation: 1, State: model.Alive, Pools: []model.PoolID{"s"}, Slots: 100_000}}
	dispatcher := func(at time.Time) *schedule.Scheduler {
		s := schedule.New(schedule.Options{Tolerance: tolerance, Share: 1})
		s.SetDocument(at, document)
		s.SetServers(at, servers)
		return s
	}
	var machines []*allocate.Machine
	all := instanceIDs(instances)
	for _, id := range all {
		m := allocate.New(id, tolerance)
		m.SetInstances(start, id, all)
		m.SetDocument(start, document)
		m.SetServers(start, servers)
		machines = append(machines, m)
	}
	current, sum, seq := dispatcher(start), 0, uint64(0)
	now := start.Add(20 * time.Second)
	follow := func(id model.InstanceID) {
		for _, m := range machines {
			m.SetDispatcher(now, id)
			for _, j := range effectsOf[allocate.Join](m.Take()) {
				m.Joined(now, j.To, j.Session)
			}
		}
	}
	follow("d")
	// The load is three times the limit. The dispatcher is lost after 4 s, for 1 s.
	for step := range 8000 {
		now = now.Add(time.Millisecond)
		switch step {
		case 4000:
			follow("")
		case 5000:
			current = dispatcher(now)
			follow("e")
		}
		if step%7 != 0 {
			continue
		}
		seq++
		m := machines[seq%instances]
		w := want(seq, now)
		w.Team, w.Prompt = "t", tokens
		m.Submit(now, w)
		for effects := m.Take(); len(effects) > 0; effects = m.Take() {
			for _, e := range effects {
				switch e := e.(type) {
				case allocate.Submit:
					current.Submit(now, e.Request)
					for _, d := range current.Take() {
						m.HandleDecision(now, e.To, e.Session, d)
					}
				case allocate.SendReport:
					current.Report(now, e.Report)
				case allocate.Decided:
					if !e.Denied {
						sum += tokens
						m.Report(now, schedule.Report{ID: e.ID, Server: e.Server.ID, Outcome: schedule.Finished})
					}
				}
			}
		}
	}
	g.Expect(float64(sum)).To(BeNumerically("<=", (rate*8+rate)*1.1+72_000))
	g.Expect(float64(sum)).To(BeNumerically(">=", rate*8), "the limit itself is served")
}

func instanceIDs(n int) []model.InstanceID {
	var all []model.InstanceID
	for i := range n {
		all = append(all, model.InstanceID(fmt.Sprintf("i%02d", i)))
	}
	return all
}

// Guards, while no dispatcher responds, against instances that all choose the same fast engines: together
// they grant each engine exactly as many requests as it has slots.
func TestInstancesThatDecideAloneShareNoSlot(t *testing.T) {
	g := NewWithT(t)
	const instances, engines, slots = 12, 9, 8
	document := &model.RouteConfig{Services: map[model.PoolID]model.RoutedService{
		"s": {ID: "s", Engine: &model.EngineLimits{Slots: slots, MemoryTokens: 1_000_000}},
	}}
	var servers []model.BackendServer
	for i := range engines {
		servers = append(servers, model.BackendServer{
			ID: model.BackendServerID(fmt.Sprintf("e%d", i)), Incarnation: 1, Sequence: 1, State: model.Alive,
			Address: fmt.Sprintf("e%d:1", i), Pools: []model.PoolID{"s"}, Slots: slots,
		})
	}
	given := make(map[model.BackendServerID]int)
	for _, id := range instanceIDs(instances) {
		m := allocate.New("i", allotment.Tolerance{})
		m.SetInstances(start, id, instanceIDs(instances))
		m.SetDocument(start, document)
		m.SetServers(start, servers)
		for i := range 30 {
			w := want(uint64(i), start)
			w.Prompt, w.Output, w.Expected = 100, 200, 20
			m.Submit(start, w)
		}
		for _, d := range effectsOf[allocate.Decided](m.Take()) {
			if !d.Denied {
				given[d.Server.ID]++
			}
		}
	}
	g.Expect(given).To(HaveLen(engines))
	for id, n := range given {
		g.Expect(n).To(Equal(slots), string(id))
	}
}

// Guards, in a burst of several times the capacity of the servers, against a dispatcher that spends its
// time on denials: a denial is reused for a short time for requests that would be denied as well, and for
// no others.
func TestADenialStandsForLikeRequests(t *testing.T) {
	g := NewWithT(t)
	m := allocate.New("i", allotment.Tolerance{})
	m.SetDispatcher(start, "d")
	m.Joined(start, "d", effectsOf[allocate.Join](m.Take())[0].Session)
	m.Take()
	asked := func(now time.Time, w schedule.Request) bool {
		m.Submit(now, w)
		return len(effectsOf[allocate.Submit](m.Take())) > 0
	}
	first := want(1, start)
	first.Rank = 1
	g.Expect(asked(start, first)).To(BeTrue())
	m.HandleDecision(start, "d", 1, schedule.Decision{ID: first.ID, Denied: true, Reason: schedule.DeniedQueue, RetryAfter: time.Second})
	m.Take()

	now := start.Add(50 * time.Millisecond)
	like := func(seq uint64) schedule.Request {
		w := first
		w.ID = want(seq, now).ID
		return w
	}
	m.Submit(now, like(2))
	decided := effectsOf[allocate.Decided](m.Take())
	g.Expect(decided).To(HaveLen(1))
	g.Expect(decided[0].Denied).To(BeTrue())
	g.Expect(decided[0].ID).To(Equal(like(2).ID))

	urgent, small, patient := like(3), like(4), like(5)
	urgent.Rank = 0
	small.Prompt = first.Prompt - 1
	patient.StartDeadline = patient.StartDeadline.Add(time.Second)
	g.Expect(asked(now, urgent)).To(BeTrue(), "a more urgent request")
	g.Expect(asked(now, small)).To(BeTrue(), "a smaller request")
	g.Expect(asked(now, patient)).To(BeTrue(), "a request with more time")
	g.Expect(asked(start.Add(time.Second), like(6))).To(BeTrue(), "later")
}
