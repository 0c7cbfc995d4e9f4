package scheduler

import (
	"io"
	"testing"
	"time"

	"briaryard/internal/decide/allocate"
	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/routing"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/event"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

type sent struct {
	to   model.InstanceID
	body any
}

// network records what the service sends.
type network struct {
	port.Peers
	sent []sent
}

func (n *network) Send(to model.InstanceID, _ string, body any) error {
	n.sent = append(n.sent, sent{to, body})
	return nil
}

// take returns the verdicts and beats of an instance, and forgets all that was sent.
func (n *network) take(to model.InstanceID) (verdicts, beats int) {
	for _, m := range n.sent {
		switch m.body.(type) {
		case port.VerdictMessage:
			if m.to == to {
				verdicts++
			}
		case port.BeatMessage:
			if m.to == to {
				beats++
			}
		}
	}
	n.sent = nil
	return verdicts, beats
}

const (
	aloneFor = 4 * time.Second
	// rate, in tokens a second, and burst are the team's allotment.
	rate  = 100
	burst = 1000
	// fillTime is what an empty allotment needs to be full again.
	fillTime = burst / rate * time.Second
)

var start = time.Now()

// newService returns the service with one plain server of one slot and one team.
func newService(t *testing.T) (*Service, *network) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, n := New(log, metric.NewSet(), Options{Tolerance: allotment.Tolerance{Window: 10 * time.Second}, AloneFor: aloneFor}), &network{}
	s.peers = n
	s.handle(start, port.View{Table: routing.New(&model.Document{
		Revision: 1, Services: map[model.PoolID]model.RoutedService{"desk": {ID: "desk"}},
		Teams: []model.RoutedTeam{{ID: "team", Allotment: &model.Allotment{Rate: rate, Burst: burst, CountTokens: true}}},
	})})
	s.handle(start, servers{[]model.BackendServer{{
		ID: "p", Incarnation: 1, Sequence: 1, State: model.Alive, Address: "p:1", Pools: []model.PoolID{"desk"}, Slots: 1}}})
	return s, n
}

func receive(s *Service, now time.Time, from model.InstanceID, body any) {
	s.handle(now, port.PeerMessage{From: from, Incarnation: 1, Body: body})
}

func join(s *Service, now time.Time, from model.InstanceID, session uint64) {
	receive(s, now, from, port.JoinMessage{Session: session})
	receive(s, now, from, port.AccountMessage{Session: session})
}

func ask(s *Service, now time.Time, from model.InstanceID, session, seq uint64) {
	receive(s, now, from, port.AskMessage{
		Session: session, OnTimeIn: time.Second, UntilIn: 2 * time.Second, EndIn: 3 * time.Second,
		Want: schedule.Want{ID: model.RequestID{Incarnation: 1, Seq: seq}, Service: "desk", Team: "team", Prompt: 10},
	})
}

// Guards against a decision for a session that the instance has given up: it decides alone by then, and
// a slot would be taken for nothing.
func TestAskOfAnOldSessionIsIgnored(t *testing.T) {
	s, n := newService(t)
	join(s, start, "a", 1)
	join(s, start, "a", 2)
	n.take("a")
	ask(s, start, "a", 1, 1)
	if verdicts, _ := n.take("a"); verdicts != 0 {
		t.Error("an ask of an old session was decided")
	}
	ask(s, start, "a", 2, 2)
	if verdicts, _ := n.take("a"); verdicts != 1 {
		t.Error("an ask of the present session was not decided")
	}
}

// Guards against an instance that gives a dispatcher up which is only busy: while a request waits, the
// dispatcher shows that it lives.
func TestDispatcherShowsThatItLivesWhileRequestsWait(t *testing.T) {
	s, n := newService(t)
	join(s, start, "a", 1)
	ask(s, start, "a", 1, 1)
	ask(s, start, "a", 1, 2)
	n.take("a")
	now := start.Add(allocate.BeatInterval)
	s.onTick(now)
	if _, beats := n.take("a"); beats != 1 {
		t.Errorf("%d signs for a waiting request, want 1", beats)
	}
	receive(s, now, "a", port.WithdrawAskMessage{Session: 1, ID: model.RequestID{Incarnation: 1, Seq: 2}})
	s.onTick(now.Add(allocate.BeatInterval))
	if _, beats := n.take("a"); beats != 0 {
		t.Errorf("%d signs though nothing waits, want none", beats)
	}
}

// Guards against slots that stay taken by the requests of a process that has ended.
func TestRequestsOfALostInstanceAreForgotten(t *testing.T) {
	s, n := newService(t)
	join(s, start, "a", 1)
	join(s, start, "b", 1)
	ask(s, start, "a", 1, 1)
	ask(s, start, "b", 1, 1)
	if verdicts, _ := n.take("b"); verdicts != 0 {
		t.Fatal("one slot was given to two requests")
	}
	s.handle(start, port.PeerStatus{Instance: model.Instance{ID: "a"}, State: port.PeerDown})
	s.onTick(start.Add(goneAfter))
	if verdicts, _ := n.take("b"); verdicts != 1 {
		t.Error("the slot of a lost instance stays taken")
	}
}

// Guards against an allotment that is handed out twice, by the dispatcher and by an instance that it has
// lost. The instance acts alone as long as its configuration counts; afterwards it refuses.
func TestAllotmentIsSharedWithInstancesThatActAlone(t *testing.T) {
	s, n := newService(t)
	full := start.Add(fillTime)
	join(s, start, "a", 1)
	join(s, start, "b", 1)
	s.onTick(full)
	s.handle(full, port.PeerStatus{Instance: model.Instance{ID: "b"}, State: port.PeerDown})
	seq := uint64(0)
	// granted returns how many of two requests for three tenths of the burst each are granted.
	granted := func(now time.Time) (count int) {
		s.onTick(now)
		for range 2 {
			seq++
			id := model.RequestID{Incarnation: 1, Seq: seq}
			n.sent = nil
			receive(s, now, "a", port.AskMessage{
				Session: 1, OnTimeIn: time.Second, UntilIn: 2 * time.Second, EndIn: 3 * time.Second,
				Want: schedule.Want{ID: id, Service: "desk", Team: "team", Prompt: burst * 3 / 10},
			})
			if len(n.sent) != 1 {
				t.Fatalf("%d messages, want a decision", len(n.sent))
			}
			if d := n.sent[0].body.(port.VerdictMessage).Decision; !d.Denied {
				count++
				receive(s, now, "a", port.OutcomeMessage{Session: 1, Report: schedule.Report{ID: id, Server: d.Server.ID, Outcome: schedule.Finished}})
			}
		}
		return count
	}
	if got := granted(full); got != 1 {
		t.Errorf("%d of 2 requests were granted, want 1: half of the burst is left to the lost instance", got)
	}
	s.onTick(full.Add(aloneFor))
	if got := granted(full.Add(aloneFor + fillTime)); got != 2 {
		t.Errorf("%d of 2 requests were granted, want both: the lost instance must have stopped", got)
	}
}

// Guards against a burst for each change of the dispatcher: the buckets of one that stood by have filled
// while another handed out. With changes two seconds apart, teams got a tenth more than is tolerated.
func TestDispatcherThatTakesOverHasNoFullAllotments(t *testing.T) {
	s, n := newService(t)
	now := start.Add(fillTime)
	s.onTick(now)
	join(s, now, "a", 1)
	granted := func(seq uint64, tokens int) bool {
		n.sent = nil
		receive(s, now, "a", port.AskMessage{
			Session: 1, OnTimeIn: time.Second, UntilIn: 2 * time.Second, EndIn: 3 * time.Second,
			Want: schedule.Want{ID: model.RequestID{Incarnation: 1, Seq: seq}, Service: "desk", Team: "team", Prompt: tokens},
		})
		return !n.sent[0].body.(port.VerdictMessage).Decision.Denied
	}
	if granted(1, burst*30/100) {
		t.Error("three tenths of the burst were handed out at once")
	}
	// What flows in meanwhile counts: the join of another instance is no change of the dispatcher.
	now = now.Add(standbyAfter * 2 / 3)
	join(s, now, "b", 1)
	if !granted(2, burst*26/100) {
		t.Error("the allotment does not fill, or the join of another instance emptied it")
	}
}
