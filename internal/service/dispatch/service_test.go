package dispatch

import (
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/event"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// fakePeers records what is sent, or fails with err if it is set.
type fakePeers struct {
	port.Peers
	err  error
	sent []any
}

func (l *fakePeers) Send(_ model.InstanceID, _ string, body any) error {
	if l.err == nil {
		l.sent = append(l.sent, body)
	}
	return l.err
}

// Guards against the loss of a report, or of the state sent after it, that is never repaired.
func TestLostMessageIsFollowedByState(t *testing.T) {
	g := NewWithT(t)
	peers := &fakePeers{err: &ring.FullError{}}
	s := New(event.New(slog.New(slog.DiscardHandler)))
	s.peers = peers
	s.Attach(func(port.DispatchEvent) error { return nil })
	asked := 0
	s.AttachState(func(port.StateRequest) error { asked++; return nil })
	s.setHolder("m", "i1", 1)
	now := time.Now()
	s.handle(now, progressReport{model.Progress{Pool: "m", Kind: model.ProgressFinished}})
	s.onTick(now)
	g.Expect(asked).To(Equal(1))
	s.handle(now, entryState{port.EntryState{Pool: "m"}})
	s.onTick(now)
	g.Expect(asked).To(Equal(2), "the state sent in reply was lost too")
	peers.err = nil
	s.handle(now, entryState{port.EntryState{Pool: "m"}})
	s.onTick(now)
	g.Expect(asked).To(Equal(2))
	g.Expect(peers.sent).To(HaveLen(1))
}
