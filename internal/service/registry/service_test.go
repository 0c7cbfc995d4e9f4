package registry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/metric"
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

func (n *fakePeers) Self() (model.InstanceID, model.Incarnation) { return "self", 1 }

func (n *fakePeers) Send(to model.InstanceID, _ string, body any) error {
	n.sent = append(n.sent, sentMessage{to, body})
	return nil
}

// takeReceivers returns the sorted receivers of records and clears the recorded messages.
func (n *fakePeers) takeReceivers() []model.InstanceID {
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

func newCore(t testing.TB, connected ...model.InstanceID) (*Service, *fakePeers) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, n := New(log, metric.NewSet(), Options{Core: true, DetectsSilence: true}), &fakePeers{}
	s.peers, s.startedAt = n, time.Now()
	for _, id := range connected {
		connect(s, id)
	}
	return s, n
}

// connect opens a connection: to a core instance, whose id begins with "core", or to a subscriber.
func connect(s *Service, id model.InstanceID) {
	instance := model.Instance{ID: id}
	if strings.HasPrefix(string(id), "core") {
		instance.PeerAddress = string(id)
	}
	s.handle(start, port.PeerStatus{Instance: instance, State: port.PeerReset})
	if instance.PeerAddress == "" {
		s.handle(start, port.PeerMessage{From: id, Body: port.RecordsSubscriptionMessage{On: true}})
	}
}

func server(sequence uint64, state model.MemberState) model.BackendServer {
	return model.BackendServer{ID: "s", Incarnation: 5, Sequence: sequence, State: state, Address: "10.0.0.1:80", Domain: "z1", Slots: 4, Pools: []model.PoolID{"llm"}}
}

// Guards against an acknowledgement of draining before the record has been sent to all instances. An
// instance that takes requests and lacks the change would go on sending them to the server.
func TestServerIsAnsweredAfterTheOthersWereTold(t *testing.T) {
	s, n := newCore(t, "entry1", "entry2", "core2")
	var receivers []model.InstanceID
	answered := false
	for sequence, state := range []model.MemberState{model.Alive, model.Leaving} {
		answered = false
		now := start.Add(time.Duration(sequence) * publishInterval)
		s.handle(now, announceRequest{server(uint64(sequence+1), state), func(err error) {
			answered = err == nil
			receivers = n.takeReceivers()
		}})
		if want := []model.InstanceID{"core2", "entry1", "entry2"}; !answered || !slices.Equal(receivers, want) {
			t.Errorf("%v: answered %v after the record was sent to %v, want all three", state, answered, receivers)
		}
	}
	s.handle(start, announceRequest{server(3, model.Leaving), func(error) {}})
	if got := n.takeReceivers(); len(got) != 0 {
		t.Errorf("sent records to %v again without a change", got)
	}
}

// Guards against records that circulate between core instances forever, and against a record that
// the first core instance does not forward: an instance may be connected to only one of them.
func TestRecordOfAnotherCoreInstanceIsPassedOnOnce(t *testing.T) {
	s, n := newCore(t, "entry1", "core2", "core3")
	receiveFrom := func(from model.InstanceID) {
		s.handle(start, port.PeerMessage{From: from, Body: port.ServersMessage{Servers: []model.BackendServer{server(1, model.Alive)}}})
	}
	receiveFrom("core2")
	if got, want := n.takeReceivers(), []model.InstanceID{"core3", "entry1"}; !slices.Equal(got, want) {
		t.Errorf("forwarded to %v, want %v", got, want)
	}
	receiveFrom("core3")
	if got := n.takeReceivers(); len(got) != 0 {
		t.Errorf("forwarded to %v a second time", got)
	}
}

// Guards against an instance that misses a change because the change was lost with its connection.
func TestNewConnectionGetsAllRecords(t *testing.T) {
	s, n := newCore(t)
	s.handle(start, announceRequest{server(1, model.Alive), func(error) {}})
	n.takeReceivers()
	connect(s, "entry1")
	connect(s, "core2")
	if got := n.takeReceivers(); !slices.Equal(got, []model.InstanceID{"core2", "entry1"}) {
		t.Errorf("records were sent to %v, want entry1 and core2", got)
	}
	// A connection that is opened anew after a loss of messages gets them again.
	s.handle(start, port.PeerStatus{Instance: model.Instance{ID: "entry1"}, State: port.PeerReset})
	if got := n.takeReceivers(); !slices.Equal(got, []model.InstanceID{"entry1"}) {
		t.Errorf("records were sent to %v after a reset, want entry1", got)
	}
}

// Guards against a core instance that has just started and acknowledges the removal of a server that
// it does not know yet. The other instances would go on sending requests to the server.
func TestYoungInstanceDoesNotAnswerForAnUnknownServer(t *testing.T) {
	s, _ := newCore(t, "entry1")
	// Without an incarnation the removal of an unknown server cannot be recorded.
	answer := func() (err error) {
		s.handle(start, departRequest{"s", 0, func(e error) { err = e }})
		return err
	}
	var refused *fault.NotServed
	if err := answer(); !errors.As(err, &refused) {
		t.Errorf("answered %v during the warm-up, want a refusal", err)
	}
	s.startedAt = time.Now().Add(-warmUpDuration)
	if err := answer(); err != nil {
		t.Errorf("answered %v, want an acknowledgement", err)
	}
}

// Guards against a server that one core instance drops from its list because the server announces
// itself to another one. Core instances send each other the servers that they have heard, and do not
// send them to the other instances.
func TestCoreInstancesTellWhomTheyHaveHeard(t *testing.T) {
	s, n := newCore(t, "entry1", "core2")
	s.handle(start, coreChanged{[]model.InstanceID{"self", "core2"}})
	s.handle(start, announceRequest{server(1, model.Alive), func(error) {}})
	n.takeReceivers()
	s.onTick(start)
	if len(n.sent) != 1 || n.sent[0].to != "core2" {
		t.Fatalf("sent %v, want one message to core2", n.sent)
	}
	if heard := n.sent[0].body.(port.AnnouncementsMessage).Servers; len(heard) != 1 || heard[0].ID != "s" {
		t.Errorf("heard %v, want s", heard)
	}
	n.sent = nil
	s.onTick(start)
	if len(n.sent) != 0 {
		t.Errorf("sent %v without an announcement since the last tick", n.sent)
	}
}

// Guards against a removed server that is listed again because of an announcement from before its
// removal, at an instance that did not know the server.
func TestRemovalOfAnUnknownServerIsRemembered(t *testing.T) {
	s, n := newCore(t, "entry1")
	s.handle(start, departRequest{"s", 5, func(error) {}})
	if got := n.takeReceivers(); len(got) != 1 {
		t.Errorf("the removal was sent to %v, want entry1", got)
	}
	s.handle(start, announceRequest{server(1, model.Alive), func(error) {}})
	if got := n.takeReceivers(); len(got) != 0 {
		t.Errorf("an announcement from before the removal was sent to %v", got)
	}
}

// Guards against an overloaded core instance: when all servers of a large fleet announce themselves at
// once, each change was sent to each instance in a message of its own, 122 messages to each of 240.
func TestServersThatChangeTogetherGoOutTogether(t *testing.T) {
	const instances, servers, startTime = 240, 122, time.Second
	var connected []model.InstanceID
	for i := range instances {
		connected = append(connected, model.InstanceID(fmt.Sprint("i", i)))
	}
	s, n := newCore(t, connected...)
	now, answered, messages := start, 0, 0
	for i := range servers {
		now = now.Add(startTime / servers)
		b := server(1, model.Alive)
		b.ID, b.Address = model.BackendServerID(fmt.Sprint("s", i)), fmt.Sprintf("10.0.1.%d:80", i+1)
		s.handle(now, announceRequest{b, func(err error) {
			if err == nil {
				answered++
			}
		}})
		messages += len(n.takeReceivers())
	}
	if answered == servers {
		t.Error("all servers were answered at once, although the last records were not sent yet")
	}
	now = now.Add(publishInterval)
	s.onTick(now)
	messages += len(n.takeReceivers())
	if answered != servers {
		t.Errorf("%d of %d servers were answered", answered, servers)
	}
	if limit := instances * int(startTime/publishInterval+2); messages > limit {
		t.Errorf("%d messages, want at most %d", messages, limit)
	}
	// One change afterwards is sent at once, in one message to each instance.
	s.handle(now.Add(publishInterval), announceRequest{server(1, model.Leaving), func(error) {}})
	if got := len(n.takeReceivers()); got != instances {
		t.Errorf("one change took %d messages, want %d", got, instances)
	}
}

// Guards against sound servers that count as silent because a core instance that is no member of the
// control group, and is not sent the announcements of the others, has not heard them itself.
func TestOnlyMembersJudgeSilence(t *testing.T) {
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, n := New(log, metric.NewSet(), Options{Core: true}), &fakePeers{}
	s.peers, s.startedAt = n, start
	s.handle(start, port.PeerStatus{Instance: model.Instance{ID: "core2"}, State: port.PeerReset})
	now := start
	for i := range 3 {
		b := server(1, model.Alive)
		b.ID, b.Address = model.BackendServerID(fmt.Sprint("s", i)), fmt.Sprintf("10.0.1.%d:80", i+1)
		s.handle(now, port.PeerMessage{From: "core2", Body: port.ServersMessage{Servers: []model.BackendServer{b}}})
	}
	for sequence := uint64(2); now.Sub(start) < 30*time.Second; sequence++ {
		now = now.Add(publishInterval)
		for i := range 2 {
			b := server(sequence, model.Alive)
			b.ID, b.Address = model.BackendServerID(fmt.Sprint("s", i)), fmt.Sprintf("10.0.1.%d:80", i+1)
			s.handle(now, announceRequest{b, func(error) {}})
		}
		s.onTick(now)
	}
	if b, ok := s.records.Get("s2"); !ok || b.State != model.Alive {
		t.Errorf("the server that announces itself elsewhere is %v (known: %v), want alive", b.State, ok)
	}
}

// newEntry returns a service of an instance that takes requests, with the record of one server.
func newEntry(t *testing.T) (*Service, *fakePeers) {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, n := New(log, metric.NewSet(), Options{}), &fakePeers{}
	s.peers, s.startedAt = n, start
	connectCore(s, "core1", port.PeerReset)
	s.handle(start, port.PeerMessage{From: "core1", Body: port.ServersMessage{Servers: []model.BackendServer{server(3, model.Alive)}}})
	n.sent = nil
	return s, n
}

// connectCore reports a state of the connection to a core instance.
func connectCore(s *Service, id model.InstanceID, state port.PeerState) {
	s.handle(start, port.PeerStatus{Instance: model.Instance{ID: id, PeerAddress: string(id)}, State: state})
}

// subscriptions returns the subscriptions that were sent, by receiver, and clears the recorded messages.
func (n *fakePeers) subscriptions() map[model.InstanceID]bool {
	out := make(map[model.InstanceID]bool)
	for _, m := range n.sent {
		if b, ok := m.body.(port.RecordsSubscriptionMessage); ok {
			out[m.to] = b.On
		}
	}
	n.sent = nil
	return out
}

// Guards against records that reach an instance in a copy from each core instance, and against an instance
// that gets none because its sources are lost, silent or have started anew.
func TestAnInstanceSubscribesToTwoCoreInstances(t *testing.T) {
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	s, n := New(log, metric.NewSet(), Options{}), &fakePeers{}
	s.peers = n
	for _, id := range []model.InstanceID{"core1", "core2", "core3"} {
		connectCore(s, id, port.PeerReset)
	}
	if got := n.subscriptions(); len(got) != 3 {
		t.Fatalf("subscriptions to 3 core instances: %v", got)
	}
	connectCore(s, "core4", port.PeerReset)
	connectCore(s, "core5", port.PeerReset)
	n.sent = nil
	if len(s.sources) != 2 {
		t.Fatalf("sources of 5 core instances: %v, want 2", s.sources)
	}
	first, second := s.sources[0], s.sources[1]
	connectCore(s, first, port.PeerSilent)
	if got := n.subscriptions(); len(s.sources) != 2 || slices.Contains(s.sources, first) || !slices.Contains(s.sources, second) || got[first] {
		t.Errorf("sources %v after %s was silent (%v), want another one in its place", s.sources, first, got)
	}
	connectCore(s, first, port.PeerRecovered)
	if got := n.subscriptions(); len(got) != 0 {
		t.Errorf("subscriptions %v after the silent one is back, want none", got)
	}
	connectCore(s, second, port.PeerReset)
	if got := n.subscriptions(); !got[second] {
		t.Errorf("subscriptions %v after a reset, want one to %s again", got, second)
	}
	connectCore(s, second, port.PeerDown)
	if slices.Contains(s.sources, second) || len(s.sources) != 2 {
		t.Errorf("sources %v after %s was lost", s.sources, second)
	}
}

// Guards against a record that goes around for ever, or to all instances, because its sequence alone is
// newer: servers announce themselves all the time.
func TestANewerSequenceAloneIsNotPassedOn(t *testing.T) {
	s, n := newCore(t, "entry1", "core2", "core3")
	s.handle(start, announceRequest{server(1, model.Alive), func(error) {}})
	n.takeReceivers()
	s.handle(start.Add(publishInterval), port.PeerMessage{From: "core2", Body: port.ServersMessage{Servers: []model.BackendServer{server(9, model.Alive)}}})
	if got := n.takeReceivers(); len(got) != 0 {
		t.Errorf("passed on to %v", got)
	}
	if record, _ := s.records.Get("s"); record.Sequence != 9 {
		t.Errorf("sequence %d, want 9", record.Sequence)
	}
}

// Guards against a server that has told an instance that it leaves and stays in use elsewhere until it
// announces that, or that comes back by its own later announcement or by a restarted core instance.
func TestTheWordThatAServerLeavesSpreads(t *testing.T) {
	entry, n := newEntry(t)
	entry.handle(start, leavingSaid{"s", 5})
	if got := n.takeReceivers(); !slices.Equal(got, []model.InstanceID{"core1"}) {
		t.Errorf("the word was sent to %v, want core1", got)
	}
	entry.handle(start, leavingSaid{"s", 5})
	if got := n.takeReceivers(); len(got) != 0 {
		t.Errorf("a repeated word was sent to %v", got)
	}
	if record, _ := entry.records.Get("s"); record.State != model.Leaving {
		t.Errorf("the record says %v", record.State)
	}
	// A core instance that has restarted knows the server as ready.
	entry.handle(start, port.PeerMessage{From: "core1", Body: port.ServersMessage{Servers: []model.BackendServer{server(9, model.Alive)}}})
	if record, _ := entry.records.Get("s"); record.State != model.Leaving {
		t.Errorf("the record says %v after a later announcement", record.State)
	}
	connectCore(entry, "core2", port.PeerReset)
	if got := n.takeReceivers(); !slices.Equal(got, []model.InstanceID{"core2"}) {
		t.Errorf("a new connection was sent to %v, want the word to core2", got)
	}

	core, c := newCore(t, "entry1", "entry2", "core2")
	core.handle(start, announceRequest{server(4, model.Alive), func(error) {}})
	c.takeReceivers()
	core.handle(start.Add(publishInterval), port.PeerMessage{From: "entry1", Body: port.ServersMessage{Servers: []model.BackendServer{server(3, model.Leaving)}}})
	if got, want := c.takeReceivers(), []model.InstanceID{"core2", "entry2"}; !slices.Equal(got, want) {
		t.Errorf("the core instance told %v, want %v", got, want)
	}
	core.handle(start.Add(2*publishInterval), announceRequest{server(5, model.Alive), func(error) {}})
	if record, _ := core.records.Get("s"); record.State != model.Leaving {
		t.Errorf("the core instance has %v after a later announcement", record.State)
	}
}

// Guards against a word that holds back the next incarnation of a server, or an unknown one.
func TestTheWordThatAServerLeavesCountsForItsIncarnation(t *testing.T) {
	entry, n := newEntry(t)
	entry.handle(start, leavingSaid{"s", 4})
	entry.handle(start, leavingSaid{"unknown", 5})
	if got := n.takeReceivers(); len(got) != 0 {
		t.Errorf("told %v", got)
	}
	if record, _ := entry.records.Get("s"); record.State != model.Alive {
		t.Errorf("the record says %v", record.State)
	}
}

// Guards against a server that has left and is used again after a restart of a core instance, by an
// announcement that was under way all the while: the other instances still know that it has left.
func TestARestartedCoreInstanceIsToldWhoHasLeft(t *testing.T) {
	entry, n := newEntry(t)
	entry.handle(start, port.PeerMessage{From: "core1", Body: port.ServersMessage{Servers: []model.BackendServer{server(4, model.Gone)}}})
	n.sent = nil
	connectCore(entry, "core1", port.PeerReset)
	if len(n.sent) != 2 {
		t.Fatalf("sent %v on a new connection, want the record of the server that has left and a subscription", n.sent)
	}
	core, c := newCore(t, "entry1")
	core.handle(start, port.PeerMessage{From: "entry1", Body: n.sent[0].body})
	c.takeReceivers()
	core.handle(start.Add(publishInterval), announceRequest{server(3, model.Alive), func(error) {}})
	if record, _ := core.records.Get("s"); record.State != model.Gone {
		t.Errorf("the record says %v after a late announcement, want gone", record.State)
	}
	if got := c.takeReceivers(); len(got) != 0 {
		t.Errorf("the late announcement was passed on to %v", got)
	}
}
