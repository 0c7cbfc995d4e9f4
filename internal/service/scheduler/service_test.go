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

type sentMessage struct {
	to   model.InstanceID
	body any
}

// fakePeers records what the service sends.
type fakePeers struct {
	port.Peers
	sent []sentMessage
}

func (n *fakePeers) Send(to model.InstanceID, _ string, body any) error {
	n.sent = append(n.sent, sentMessage{to, body})
	return nil
}

// take returns how many decisions and heartbeats were sent to an instance, and clears the record.
func (n *fakePeers) take(to model.InstanceID) (decisions, heartbeats int) {
	for _, m := range n.sent {
		switch m.body.(type) {
		case port.DecisionMessage:
			if m.to == to {
				decisions++
			}
		case port.DispatcherHeartbeatMessage:
			if m.to == to {
				heartbeats++
			}
		}
	}
	n.sent = nil
	return decisions, heartbeats
}

const (
	localDecisionLimit = 4 * time.Second
	// rate, in tokens per second, and burst, in tokens, are the team's allotment.
	rate  = 100
	burst = 1000
	// fillTime is how long an empty allotment takes to refill.
	fillTime = burst / rate * time.Second
)

var start = time.Now()

// newService returns a service with one team and one plain server that has one slot.
func newService(t *testing.T) (*Service, *fakePeers) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, n := New(log, metric.NewSet(), Options{Tolerance: allotment.Tolerance{Window: 10 * time.Second}, LocalDecisionLimit: localDecisionLimit}), &fakePeers{}
	s.peers = n
	s.handle(start, port.RouteView{Table: routing.New(&model.RouteConfig{
		Revision: 1, Services: map[model.PoolID]model.RoutedService{"desk": {ID: "desk"}},
		Teams: []model.RoutedTeam{{ID: "team", Allotment: &model.Allotment{Rate: rate, Burst: burst, CountTokens: true}}},
	})})
	s.handle(start, serversChanged{[]model.BackendServer{{
		ID: "p", Incarnation: 1, Sequence: 1, State: model.Alive, Address: "p:1", Pools: []model.PoolID{"desk"}, Slots: 1}}})
	return s, n
}

func receive(s *Service, now time.Time, from model.InstanceID, body any) {
	s.handle(now, port.PeerMessage{From: from, Incarnation: 1, Body: body})
}

func join(s *Service, now time.Time, from model.InstanceID, sessionID uint64) {
	receive(s, now, from, port.JoinMessage{Session: sessionID})
	receive(s, now, from, port.GrantedWorkMessage{Session: sessionID})
}

func submitRequest(s *Service, now time.Time, from model.InstanceID, sessionID, seq uint64) {
	receive(s, now, from, port.SubmitMessage{
		Session: sessionID, StartTargetIn: time.Second, StartDeadlineIn: 2 * time.Second, DeadlineIn: 3 * time.Second,
		Request: schedule.Request{ID: model.RequestID{Incarnation: 1, Seq: seq}, Service: "desk", Team: "team", Prompt: 10},
	})
}

// Guards against deciding a request of a session that the instance has abandoned: the instance
// decides alone by then, and the grant would occupy a slot for nothing.
func TestAskOfAnOldSessionIsIgnored(t *testing.T) {
	s, n := newService(t)
	join(s, start, "a", 1)
	join(s, start, "a", 2)
	n.take("a")
	submitRequest(s, start, "a", 1, 1)
	if decisions, _ := n.take("a"); decisions != 0 {
		t.Error("a request of an old session was decided")
	}
	submitRequest(s, start, "a", 2, 2)
	if decisions, _ := n.take("a"); decisions != 1 {
		t.Error("a request of the current session was not decided")
	}
}

// Guards against an instance that abandons a dispatcher which is only busy: while a request waits,
// the dispatcher sends heartbeats.
func TestDispatcherShowsThatItLivesWhileRequestsWait(t *testing.T) {
	s, n := newService(t)
	join(s, start, "a", 1)
	submitRequest(s, start, "a", 1, 1)
	submitRequest(s, start, "a", 1, 2)
	n.take("a")
	now := start.Add(allocate.HeartbeatInterval)
	s.onTick(now)
	if _, heartbeats := n.take("a"); heartbeats != 1 {
		t.Errorf("%d heartbeats while a request waits, want 1", heartbeats)
	}
	receive(s, now, "a", port.WithdrawSubmitMessage{Session: 1, ID: model.RequestID{Incarnation: 1, Seq: 2}})
	s.onTick(now.Add(allocate.HeartbeatInterval))
	if _, heartbeats := n.take("a"); heartbeats != 0 {
		t.Errorf("%d heartbeats while no request waits, want none", heartbeats)
	}
}

// Guards against slots that stay occupied by the requests of a process that has ended.
func TestRequestsOfALostInstanceAreForgotten(t *testing.T) {
	s, n := newService(t)
	join(s, start, "a", 1)
	join(s, start, "b", 1)
	submitRequest(s, start, "a", 1, 1)
	submitRequest(s, start, "b", 1, 1)
	if decisions, _ := n.take("b"); decisions != 0 {
		t.Fatal("one slot was granted to two requests")
	}
	s.handle(start, port.PeerStatus{Instance: model.Instance{ID: "a"}, State: port.PeerDown})
	s.onTick(start.Add(disconnectTimeout))
	if decisions, _ := n.take("b"); decisions != 1 {
		t.Error("the slot of a lost instance stays occupied")
	}
}

// Guards against an allotment that is granted twice, by the dispatcher and by an instance that it
// has lost. The instance decides alone as long as its configuration is usable; afterwards it
// refuses requests.
func TestAllotmentIsSharedWithInstancesThatActAlone(t *testing.T) {
	s, n := newService(t)
	full := start.Add(fillTime)
	join(s, start, "a", 1)
	join(s, start, "b", 1)
	s.onTick(full)
	s.handle(full, port.PeerStatus{Instance: model.Instance{ID: "b"}, State: port.PeerDown})
	seq := uint64(0)
	// granted returns how many of two requests are granted, each for three tenths of the burst.
	granted := func(now time.Time) (count int) {
		s.onTick(now)
		for range 2 {
			seq++
			id := model.RequestID{Incarnation: 1, Seq: seq}
			n.sent = nil
			receive(s, now, "a", port.SubmitMessage{
				Session: 1, StartTargetIn: time.Second, StartDeadlineIn: 2 * time.Second, DeadlineIn: 3 * time.Second,
				Request: schedule.Request{ID: id, Service: "desk", Team: "team", Prompt: burst * 3 / 10},
			})
			if len(n.sent) != 1 {
				t.Fatalf("%d messages, want a decision", len(n.sent))
			}
			if d := n.sent[0].body.(port.DecisionMessage).Decision; !d.Denied {
				count++
				receive(s, now, "a", port.OutcomeMessage{Session: 1, Report: schedule.Report{ID: id, Server: d.Server.ID, Outcome: schedule.Finished}})
			}
		}
		return count
	}
	if got := granted(full); got != 1 {
		t.Errorf("%d of 2 requests were granted, want 1: half of the burst is reserved for the lost instance", got)
	}
	s.onTick(full.Add(localDecisionLimit))
	if got := granted(full.Add(localDecisionLimit + fillTime)); got != 2 {
		t.Errorf("%d of 2 requests were granted, want both: the lost instance no longer decides alone", got)
	}
}

// Guards against a full burst after each change of the dispatcher: the token buckets of a standby
// dispatcher fill while another one grants. With changes two seconds apart, teams got a tenth more
// than the tolerance allows.
func TestDispatcherThatTakesOverHasNoFullAllotments(t *testing.T) {
	s, n := newService(t)
	now := start.Add(fillTime)
	s.onTick(now)
	join(s, now, "a", 1)
	granted := func(seq uint64, tokens int) bool {
		n.sent = nil
		receive(s, now, "a", port.SubmitMessage{
			Session: 1, StartTargetIn: time.Second, StartDeadlineIn: 2 * time.Second, DeadlineIn: 3 * time.Second,
			Request: schedule.Request{ID: model.RequestID{Incarnation: 1, Seq: seq}, Service: "desk", Team: "team", Prompt: tokens},
		})
		return !n.sent[0].body.(port.DecisionMessage).Decision.Denied
	}
	if granted(1, burst*30/100) {
		t.Error("three tenths of the burst were granted right after the takeover")
	}
	// The refill since then counts: when another instance joins, the dispatcher has not changed.
	now = now.Add(standbyThreshold * 2 / 3)
	join(s, now, "b", 1)
	if !granted(2, burst*26/100) {
		t.Error("the allotment does not refill, or the join of another instance emptied it")
	}
}

// Guards against allotments that are handed out twice: an instance whose connection is silent may decide
// alone, with its share, for longer than one tick.
func TestASilentInstanceKeepsItsShareOfTheAllotments(t *testing.T) {
	s, _ := newService(t)
	join(s, start, "a", 1)
	join(s, start, "b", 1)
	silent := func(state port.PeerState) {
		s.handle(start, port.PeerStatus{Instance: model.Instance{ID: "b"}, State: state})
	}
	silent(port.PeerSilent)
	for tick := range 10 {
		now := start.Add(time.Duration(tick) * tickInterval)
		s.onTick(now)
		if len(s.lost) != 1 {
			t.Fatalf("tick %d: %d instances may decide alone, want 1", tick, len(s.lost))
		}
	}
	silent(port.PeerRecovered)
	s.onTick(start)
	if len(s.lost) != 0 {
		t.Errorf("%d instances may decide alone after the connection has recovered", len(s.lost))
	}
}
