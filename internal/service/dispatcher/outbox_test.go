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

// sender records what is sent and fails with err if it is set.
type sender struct {
	port.Peers
	err  error
	sent []model.RequestID
}

func (s *sender) Send(_ model.InstanceID, _ string, body any) error {
	if s.err == nil {
		s.sent = append(s.sent, body.(port.EventMessage).Event.ID)
	}
	return s.err
}

func decided(s *Service, seqs ...uint64) {
	for _, seq := range seqs {
		id := model.RequestID{Instance: "i0", Incarnation: 1, Seq: seq}
		s.performOne("m", 1, decide.Decision{Kind: decide.Granted, Descriptor: model.Descriptor{ID: id}})
	}
}

func started(peers *sender) *Service {
	s := New(event.New(slog.New(slog.DiscardHandler)))
	s.peers = peers
	return s
}

// Guards against decisions that are lost or reordered while the ring to an instance is full
// or its connection is not open yet.
func TestDecisionsWaitUntilTheyCanBeSent(t *testing.T) {
	for _, err := range []error{&ring.FullError{}, &fault.PeerUnreachable{}} {
		g := NewWithT(t)
		peers := &sender{err: err}
		s := started(peers)
		decided(s, 1, 2)
		s.onTick(time.Now())
		peers.err = nil
		decided(s, 3)
		g.Expect(peers.sent).To(BeEmpty(), "a later decision must not overtake")
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
	peers := &sender{err: &ring.FullError{}}
	s := started(peers)
	s.view = &model.View{Instances: []model.Instance{{ID: "i0", Incarnation: 1}}}
	for i := range uint64(outboxCapacity + 1) {
		decided(s, i)
	}
	g.Expect(s.outbox.pending["i0"]).To(HaveLen(outboxCapacity))
	s.setView(time.Now(), &model.View{})
	g.Expect(s.outbox.pending).To(BeEmpty())
}
