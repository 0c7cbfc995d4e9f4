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

// lossy is a connection whose ring is full while err is set.
type lossy struct {
	port.Peers
	err  error
	sent []any
}

func (l *lossy) Send(_ model.InstanceID, _ string, body any) error {
	if l.err == nil {
		l.sent = append(l.sent, body)
	}
	return l.err
}

// Guards against a lost report, or a lost state answer after it, that is never made up for.
func TestLostMessageIsFollowedByState(t *testing.T) {
	g := NewWithT(t)
	peers := &lossy{err: &ring.FullError{}}
	s := New(event.New(slog.New(slog.DiscardHandler)))
	s.peers = peers
	s.Attach(func(port.DispatchEvent) error { return nil })
	asked := 0
	s.AttachState(func(port.StateRequest) error { asked++; return nil })
	s.setHolder("m", "i1", 1)
	now := time.Now()
	s.handle(now, report{model.Progress{Pool: "m", Kind: model.ProgressFinished}})
	s.onTick(now)
	g.Expect(asked).To(Equal(1))
	s.handle(now, resync{port.EntryState{Pool: "m"}})
	s.onTick(now)
	g.Expect(asked).To(Equal(2), "the state answer was lost too")
	peers.err = nil
	s.handle(now, resync{port.EntryState{Pool: "m"}})
	s.onTick(now)
	g.Expect(asked).To(Equal(2))
	g.Expect(peers.sent).To(HaveLen(1))
}
