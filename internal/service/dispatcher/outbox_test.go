package dispatcher

import (
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	decide "briaryard/internal/decide/dispatch"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// fakePeers records the ids of the requests in sent events, or fails with err if it is set.
type fakePeers struct {
	port.Peers
	err  error
	sent []model.RequestID
}

func (s *fakePeers) Send(_ model.InstanceID, _ string, body any) error {
	if s.err == nil {
		s.sent = append(s.sent, body.(port.EventMessage).Event.ID)
	}
	return s.err
}

func sendGrants(s *Service, seqs ...uint64) {
	for _, seq := range seqs {
		id := model.RequestID{Instance: "i0", Incarnation: 1, Seq: seq}
		s.sendDecision("m", 1, decide.Decision{Kind: decide.Granted, Descriptor: model.Descriptor{ID: id}})
	}
}

func newService(peers *fakePeers) *Service {
	s := New(event.New(slog.New(slog.DiscardHandler)))
	s.peers = peers
	return s
}

// Guards against losing or reordering decisions while the ring of an instance is full or its
// connection is not open yet.
func TestDecisionsWaitUntilTheyCanBeSent(t *testing.T) {
	for _, err := range []error{&ring.FullError{}, &fault.PeerUnreachable{}} {
		g := NewWithT(t)
		peers := &fakePeers{err: err}
		s := newService(peers)
		sendGrants(s, 1, 2)
		s.onTick(time.Now())
		peers.err = nil
		sendGrants(s, 3)
		g.Expect(peers.sent).To(BeEmpty(), "a later decision must not overtake queued ones")
		s.onTick(time.Now())
		g.Expect(peers.sent).To(HaveLen(3))
		for i, id := range peers.sent {
			g.Expect(id.Seq).To(Equal(uint64(i + 1)))
		}
	}
}

// Guards against an outbox that grows without bound or outlives its instance.
func TestDecisionsForAGoneInstanceAreDropped(t *testing.T) {
	g := NewWithT(t)
	peers := &fakePeers{err: &ring.FullError{}}
	s := newService(peers)
	s.view = &model.View{Instances: []model.Instance{{ID: "i0", Incarnation: 1}}}
	for i := range uint64(outboxCapacity + 1) {
		sendGrants(s, i)
	}
	g.Expect(s.outbox.pending["i0"]).To(HaveLen(outboxCapacity))
	s.setView(time.Now(), &model.View{})
	g.Expect(s.outbox.pending).To(BeEmpty())
}

// Guards against an empty message in the queue: a request for state that replaced the only queued one and
// was sent at once left its place behind.
func TestAReplacedRequestLeavesNothingBehind(t *testing.T) {
	g := NewWithT(t)
	var sent []any
	failure := error(&ring.FullError{})
	o := newOutbox(func(_ model.InstanceID, m any) error {
		if failure == nil {
			sent = append(sent, m)
		}
		return failure
	})
	g.Expect(o.put("i", port.StateRequest{Pool: "m"})).To(BeTrue())
	failure = nil
	g.Expect(o.put("i", port.StateRequest{Pool: "m"})).To(BeTrue())
	o.flush()
	g.Expect(sent).To(Equal([]any{port.StateRequest{Pool: "m"}}))
}
