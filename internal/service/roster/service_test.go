package roster

import (
	"fmt"
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

// receivers holds the lists that the instances build from the messages sent to them.
type receivers map[model.InstanceID]*roster.Lists

// apply applies the messages with lists and returns how many there were. Each must fit what its receiver
// has.
func (r receivers) apply(t *testing.T, list []sentMessage) (messages, entries int) {
	t.Helper()
	for _, m := range list {
		b, ok := m.body.(port.InstancesMessage)
		if !ok {
			continue
		}
		if r[m.to] == nil {
			r[m.to] = roster.NewLists()
		}
		if !r[m.to].Apply("core", b.Changes) {
			t.Errorf("%s cannot apply %+v", m.to, b.Changes)
		}
		messages++
		entries += len(b.Changes.Entries) + len(b.Changes.Removed)
	}
	return messages, entries
}

// listed returns the instances in the list that an instance has built.
func (r receivers) listed(id model.InstanceID) (out []model.InstanceID) {
	return instanceIDs(r[id].All())
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
	r := receivers{}
	r.apply(t, n.take())
	if got := r.listed("a"); !slices.Equal(got, []model.InstanceID{"a", "b"}) {
		t.Fatalf("listed %v, want both", got)
	}
	setPeerState(s, "b", port.PeerSilent)
	r.apply(t, n.take())
	if got := r.listed("a"); !slices.Equal(got, []model.InstanceID{"a"}) {
		t.Errorf("listed %v after the silence, want only a", got)
	}
	setPeerState(s, "b", port.PeerRecovered)
	r.apply(t, n.take())
	if got := r.listed("b"); !slices.Equal(got, []model.InstanceID{"a", "b"}) {
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
	s.handle(time.Time{}, port.PeerMessage{From: "core", Body: port.InstancesMessage{Changes: roster.Changes{Version: 1, Entries: []roster.Entry{{Instance: "a", Address: "a:1", Ready: true}}}}})
	setPeerState(s, "core", port.PeerDown)
	if last == nil || len(last.All()) != 1 {
		t.Error("the list was removed when the connection to the core instance was lost")
	}
}

// Guards against a core instance that is overloaded by its own list: when a fleet of 240 instances starts
// within a second, the list was sent whole to all at each change of one, 8 million entries in all.
func TestAFleetThatStartsAtOnceIsSentFewMessages(t *testing.T) {
	const instances, startTime = 240, time.Second
	s, n := newService(t, true)
	now, r := time.Unix(1000, 0), receivers{}
	messages, entries := 0, 0
	for i := range instances {
		id := model.InstanceID(fmt.Sprint("i", i))
		now = now.Add(startTime / instances)
		for _, m := range []any{
			port.PeerStatus{Instance: model.Instance{ID: id}, State: port.PeerUp},
			port.PeerStatus{Instance: model.Instance{ID: id}, State: port.PeerReset},
			port.PeerMessage{From: id, Incarnation: 1, Body: port.PresenceMessage{Entry: roster.Entry{Sequence: 1, Address: string(id), Ready: true}}},
		} {
			s.handle(now, m)
		}
		sentMessages, sentEntries := r.apply(t, n.take())
		messages, entries = messages+sentMessages, entries+sentEntries
	}
	s.publishChanges(now.Add(publishInterval))
	sentMessages, sentEntries := r.apply(t, n.take())
	messages, entries = messages+sentMessages, entries+sentEntries
	for i := range instances {
		if got := len(r.listed(model.InstanceID(fmt.Sprint("i", i)))); got != instances {
			t.Fatalf("instance %d has %d of %d entries", i, got, instances)
		}
	}
	// Each entry goes to each instance once, in at most one message for each interval.
	if maxMessages := instances * int(startTime/publishInterval+2); messages > maxMessages {
		t.Errorf("%d messages, want at most %d", messages, maxMessages)
	}
	if entries > instances*instances {
		t.Errorf("%d entries, want at most %d", entries, instances*instances)
	}
	// One change afterwards costs one entry for each instance.
	now = now.Add(2 * publishInterval)
	s.handle(now, port.PeerMessage{From: "i7", Incarnation: 1, Body: port.PresenceMessage{Entry: roster.Entry{Sequence: 2, Address: "i7"}}})
	if messages, entries := r.apply(t, n.take()); messages != instances || entries != instances {
		t.Errorf("one change took %d messages with %d entries, want %d of each", messages, entries, instances)
	}
}

// Guards against an instance that never gets the list again after a difference was lost.
func TestAnInstanceWithoutTheVersionAsksForTheWholeList(t *testing.T) {
	core, n := newService(t, true)
	setPeerState(core, "a", port.PeerReset)
	sendPresence(core, "a", 1, true)
	n.take()
	entry, e := newService(t, false)
	entry.handle(time.Time{}, port.PeerMessage{From: "core", Body: port.InstancesMessage{Changes: roster.Changes{Version: 9, Base: 8}}})
	sent := e.take()
	if len(sent) != 1 || sent[0].to != "core" {
		t.Fatalf("sent %v, want a request to the core instance", sent)
	}
	core.handle(time.Time{}, port.PeerMessage{From: "a", Body: sent[0].body})
	answer := n.take()
	if len(answer) != 1 || answer[0].body.(port.InstancesMessage).Changes.Base != 0 {
		t.Errorf("answered %v, want the whole list", answer)
	}
}
