package roster

import (
	"io"
	"slices"
	"testing"
	"time"

	"briaryard/internal/decide/roster"
	"briaryard/internal/event"
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

func (n *network) take() []sent {
	out := n.sent
	n.sent = nil
	return out
}

func newService(t *testing.T, core bool) (*Service, *network) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, n := New(log, core), &network{}
	s.peers = n
	return s, n
}

func link(s *Service, id model.InstanceID, state port.PeerState) {
	s.handle(time.Time{}, port.PeerStatus{Instance: model.Instance{ID: id}, State: state})
}

func say(s *Service, from model.InstanceID, sequence uint64, ready bool) {
	s.handle(time.Time{}, port.PeerMessage{From: from, Incarnation: 1, Body: port.PresenceMessage{Entry: roster.Entry{
		Sequence: sequence, Address: string(from) + ":1", Ready: ready}}})
}

// listed returns the instances of the last list that each instance was sent.
func listed(list []sent) map[model.InstanceID][]model.InstanceID {
	out := make(map[model.InstanceID][]model.InstanceID)
	for _, m := range list {
		if b, ok := m.body.(port.InstancesMessage); ok {
			out[m.to] = nil
			for _, e := range b.Entries {
				out[m.to] = append(out[m.to], e.Instance)
			}
		}
	}
	return out
}

// Guards against callers who are sent to an instance that has died or hangs: its silence takes it off
// the list of every other instance at once.
func TestSilentInstanceLeavesEveryList(t *testing.T) {
	s, n := newService(t, true)
	for _, id := range []model.InstanceID{"a", "b"} {
		link(s, id, port.PeerUp)
		link(s, id, port.PeerReset)
		say(s, id, 1, true)
	}
	if got := listed(n.take())["a"]; !slices.Equal(got, []model.InstanceID{"a", "b"}) {
		t.Fatalf("listed %v, want both", got)
	}
	link(s, "b", port.PeerSilent)
	if got := listed(n.take())["a"]; !slices.Equal(got, []model.InstanceID{"a"}) {
		t.Errorf("listed %v after the silence, want a alone", got)
	}
	link(s, "b", port.PeerHeard)
	if got := listed(n.take())["b"]; !slices.Equal(got, []model.InstanceID{"a", "b"}) {
		t.Errorf("listed %v after the return, want both", got)
	}
}

// Guards against an instance that stopped and is listed again by a statement that was under way.
func TestOldStatementDoesNotListAnInstanceAgain(t *testing.T) {
	s, n := newService(t, true)
	link(s, "a", port.PeerUp)
	say(s, "a", 2, false)
	n.take()
	say(s, "a", 1, true)
	if got := n.take(); len(got) != 0 {
		t.Errorf("sent %v after an old statement, want nothing", got)
	}
}

// Guards against an instance that nobody lists because its statement went with a lost connection.
func TestStatementIsRepeatedOnANewConnection(t *testing.T) {
	s, n := newService(t, false)
	s.handle(time.Time{}, presence{roster.Entry{Address: "a:1", Ready: true}})
	if len(n.take()) != 0 {
		t.Fatal("sent without a connection")
	}
	link(s, "core", port.PeerUp)
	link(s, "core", port.PeerReset)
	got := n.take()
	if len(got) != 1 || !got[0].body.(port.PresenceMessage).Entry.Ready {
		t.Errorf("sent %v, want the statement", got)
	}
}

// Guards against an instance that tells callers nothing when the core is cut off from it: the last list
// counts until there is another.
func TestLastListOutlivesTheCore(t *testing.T) {
	s, _ := newService(t, false)
	var last *roster.Lists
	s.SubscribeInstances(func(l *roster.Lists) { last = l })
	link(s, "core", port.PeerUp)
	s.handle(time.Time{}, port.PeerMessage{From: "core", Body: port.InstancesMessage{Entries: []roster.Entry{{Instance: "a", Address: "a:1", Ready: true}}}})
	link(s, "core", port.PeerDown)
	if last == nil || len(last.All()) != 1 {
		t.Error("the list is gone with the core instance that sent it")
	}
}
