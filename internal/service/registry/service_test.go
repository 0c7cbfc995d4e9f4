package registry

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/event"
	"briaryard/internal/fault"
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

func (n *network) Self() (model.InstanceID, model.Incarnation) { return "self", 1 }

func (n *network) Send(to model.InstanceID, _ string, body any) error {
	n.sent = append(n.sent, sent{to, body})
	return nil
}

// receivers returns who was sent records, and forgets them.
func (n *network) receivers() []model.InstanceID {
	var out []model.InstanceID
	for _, m := range n.sent {
		if _, ok := m.body.(port.ServersMessage); ok {
			out = append(out, m.to)
		}
	}
	n.sent = nil
	slices.Sort(out)
	return out
}

var start = time.Now()

func newCore(t *testing.T, connected ...model.InstanceID) (*Service, *network) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, n := New(log, true), &network{}
	s.peers, s.began = n, time.Now()
	for _, id := range connected {
		s.handle(start, port.PeerStatus{Instance: model.Instance{ID: id}, State: port.PeerReset})
	}
	return s, n
}

func server(sequence uint64, state model.MemberState) model.BackendServer {
	return model.BackendServer{ID: "s", Incarnation: 5, Sequence: sequence, State: state, Address: "10.0.0.1:80", Pools: []model.PoolID{"llm"}}
}

// Guards against an acknowledgement of draining that an instance which takes requests has not been
// sent yet: it would go on sending requests to the server.
func TestServerIsAnsweredAfterTheOthersWereTold(t *testing.T) {
	s, n := newCore(t, "entry1", "entry2", "core2")
	var toldBefore []model.InstanceID
	answered := false
	for sequence, state := range []model.MemberState{model.Alive, model.Leaving} {
		answered = false
		s.handle(start, announce{server(uint64(sequence+1), state), func(err error) {
			answered = err == nil
			toldBefore = n.receivers()
		}})
		if want := []model.InstanceID{"core2", "entry1", "entry2"}; !answered || !slices.Equal(toldBefore, want) {
			t.Errorf("%v: answered %v after %v were told, want all three", state, answered, toldBefore)
		}
	}
	s.handle(start, announce{server(3, model.Leaving), func(error) {}})
	if got := n.receivers(); len(got) != 0 {
		t.Errorf("told %v again without a change", got)
	}
}

// Guards against records that go round between core instances for good, and against one that ends at
// the first: an instance may be connected to one of them only.
func TestRecordOfAnotherCoreInstanceIsPassedOnOnce(t *testing.T) {
	s, n := newCore(t, "entry1", "core2", "core3")
	tell := func(from model.InstanceID) {
		s.handle(start, port.PeerMessage{From: from, Body: port.ServersMessage{Servers: []model.BackendServer{server(1, model.Alive)}}})
	}
	tell("core2")
	if got, want := n.receivers(), []model.InstanceID{"core3", "entry1"}; !slices.Equal(got, want) {
		t.Errorf("passed on to %v, want %v", got, want)
	}
	tell("core3")
	if got := n.receivers(); len(got) != 0 {
		t.Errorf("passed on to %v a second time", got)
	}
}

// Guards against an instance that misses a change because its connection was lost with it.
func TestNewConnectionGetsAllRecords(t *testing.T) {
	s, n := newCore(t)
	s.handle(start, announce{server(1, model.Alive), func(error) {}})
	n.receivers()
	s.handle(start, port.PeerStatus{Instance: model.Instance{ID: "entry1"}, State: port.PeerReset})
	if got := n.receivers(); !slices.Equal(got, []model.InstanceID{"entry1"}) {
		t.Errorf("records went to %v, want entry1", got)
	}
}

// Guards against the removal of a server that a core instance which has just started does not know yet:
// if it were acknowledged, the others would go on sending to the server.
func TestYoungInstanceDoesNotAnswerForAnUnknownServer(t *testing.T) {
	s, _ := newCore(t, "entry1")
	// Without an incarnation there is nothing to remember.
	answer := func() (err error) {
		s.handle(start, depart{"s", 0, func(e error) { err = e }})
		return err
	}
	var refused *fault.NotServed
	if err := answer(); !errors.As(err, &refused) {
		t.Errorf("answered %v while young, want a refusal", err)
	}
	s.began = time.Now().Add(-youngFor)
	if err := answer(); err != nil {
		t.Errorf("answered %v, want that it is gone", err)
	}
}

// Guards against a server that leaves the list of one core instance because it announces itself to
// another: they tell each other whom they have heard, and entries are not bothered with that.
func TestCoreInstancesTellWhomTheyHaveHeard(t *testing.T) {
	s, n := newCore(t, "entry1", "core2")
	s.handle(start, core{[]model.InstanceID{"self", "core2"}})
	s.handle(start, announce{server(1, model.Alive), func(error) {}})
	n.receivers()
	s.onTick(start)
	if len(n.sent) != 1 || n.sent[0].to != "core2" {
		t.Fatalf("sent %v, want one message to core2", n.sent)
	}
	if heard := n.sent[0].body.(port.HeardMessage).Servers; len(heard) != 1 || heard[0].ID != "s" {
		t.Errorf("heard %v, want s", heard)
	}
	n.sent = nil
	s.onTick(start)
	if len(n.sent) != 0 {
		t.Errorf("sent %v though nothing was heard since", n.sent)
	}
}

// Guards against a server that comes back by an announcement from before its removal, at an instance
// that had not heard of it.
func TestRemovalOfAnUnknownServerIsRemembered(t *testing.T) {
	s, n := newCore(t, "entry1")
	s.handle(start, depart{"s", 5, func(error) {}})
	if got := n.receivers(); len(got) != 1 {
		t.Errorf("the removal went to %v, want entry1", got)
	}
	s.handle(start, announce{server(1, model.Alive), func(error) {}})
	if got := n.receivers(); len(got) != 0 {
		t.Errorf("an announcement from before the removal went to %v", got)
	}
}
