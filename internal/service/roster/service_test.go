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

type sentMessage struct {
	to   model.InstanceID
	body any
}

// fakePeers records the messages that the service sends.
type fakePeers struct {
	port.Peers
	sent []sentMessage
}

func (n *fakePeers) Send(to model.InstanceID, _ string, body any) error {
	n.sent = append(n.sent, sentMessage{to, body})
	return nil
}

func (n *fakePeers) take() []sentMessage {
	out := n.sent
	n.sent = nil
	return out
}

func newService(t *testing.T, core bool) (*Service, *fakePeers) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, n := New(log, core), &fakePeers{}
	s.peers = n
	return s, n
}

func setPeerState(s *Service, id model.InstanceID, state port.PeerState) {
	s.handle(time.Time{}, port.PeerStatus{Instance: model.Instance{ID: id}, State: state})
}

func sendPresence(s *Service, from model.InstanceID, sequence uint64, ready bool) {
	s.handle(time.Time{}, port.PeerMessage{From: from, Incarnation: 1, Body: port.PresenceMessage{Entry: roster.Entry{
		Sequence: sequence, Address: string(from) + ":1", Ready: ready}}})
}

// listedInstances returns, by receiver, the instances in the last list that it was sent.
func listedInstances(list []sentMessage) map[model.InstanceID][]model.InstanceID {
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

// Guards against callers who are sent to an instance that has died or hangs. When its connection is
// silent, it is removed from the list of every other instance at once.
func TestSilentInstanceLeavesEveryList(t *testing.T) {
	s, n := newService(t, true)
	for _, id := range []model.InstanceID{"a", "b"} {
		setPeerState(s, id, port.PeerUp)
		setPeerState(s, id, port.PeerReset)
		sendPresence(s, id, 1, true)
	}
	if got := listedInstances(n.take())["a"]; !slices.Equal(got, []model.InstanceID{"a", "b"}) {
		t.Fatalf("listed %v, want both", got)
	}
	setPeerState(s, "b", port.PeerSilent)
	if got := listedInstances(n.take())["a"]; !slices.Equal(got, []model.InstanceID{"a"}) {
		t.Errorf("listed %v after the silence, want only a", got)
	}
	setPeerState(s, "b", port.PeerHeard)
	if got := listedInstances(n.take())["b"]; !slices.Equal(got, []model.InstanceID{"a", "b"}) {
		t.Errorf("listed %v after the connection resumed, want both", got)
	}
}

// Guards against an instance that has stopped and is listed again because of an older presence
// message that arrives late.
func TestOldStatementDoesNotListAnInstanceAgain(t *testing.T) {
	s, n := newService(t, true)
	setPeerState(s, "a", port.PeerUp)
	sendPresence(s, "a", 2, false)
	n.take()
	sendPresence(s, "a", 1, true)
	if got := n.take(); len(got) != 0 {
		t.Errorf("sent %v after an old presence message, want nothing", got)
	}
}

// Guards against an instance that is not listed because its presence message was lost with a
// connection.
func TestStatementIsRepeatedOnANewConnection(t *testing.T) {
	s, n := newService(t, false)
	s.handle(time.Time{}, presence{roster.Entry{Address: "a:1", Ready: true}})
	if len(n.take()) != 0 {
		t.Fatal("sent without a connection")
	}
	setPeerState(s, "core", port.PeerUp)
	setPeerState(s, "core", port.PeerReset)
	got := n.take()
	if len(got) != 1 || !got[0].body.(port.PresenceMessage).Entry.Ready {
		t.Errorf("sent %v, want the presence", got)
	}
}

// Guards against an instance that has no list for callers while it has no connection to the core. The
// last list is used until a new one arrives.
func TestLastListOutlivesTheCore(t *testing.T) {
	s, _ := newService(t, false)
	var last *roster.Lists
	s.SubscribeInstances(func(l *roster.Lists) { last = l })
	setPeerState(s, "core", port.PeerUp)
	s.handle(time.Time{}, port.PeerMessage{From: "core", Body: port.InstancesMessage{Entries: []roster.Entry{{Instance: "a", Address: "a:1", Ready: true}}}})
	setPeerState(s, "core", port.PeerDown)
	if last == nil || len(last.All()) != 1 {
		t.Error("the list was removed when the connection to the core instance was lost")
	}
}
