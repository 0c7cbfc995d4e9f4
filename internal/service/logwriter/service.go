package logwriter

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/ring"
)

const (
	// ringCapacity limits the queued lines, about 1 MB.
	ringCapacity = 4096
	// maxBatchLines limits the lines of one write.
	maxBatchLines = 256
)

// Name is the service's name.
const Name = "log"

// Service queues log lines and writes them in a duty of its own.
type Service struct {
	out     io.Writer
	ring    *ring.Ring[[]byte]
	metrics *metric.Set
	log     *event.Log
	dropped atomic.Int64
	duty    *kernel.Duty
}

// New returns the service; it writes to out. Lines that are logged before Start are queued.
func New(out io.Writer) *Service {
	return &Service{out: out, ring: ring.New[[]byte]("log", ringCapacity, ring.Refuse)}
}

// Report sets the log and the metrics that report the dropped lines. It is called before Start.
func (s *Service) Report(log *event.Log, m *metric.Set) { s.log, s.metrics = log, m }

// Write implements io.Writer. It never blocks and never fails.
func (s *Service) Write(line []byte) (int, error) {
	if s.ring.Offer(bytes.Clone(line)) != nil {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Provision implements kernel.Service.
func (s *Service) Provision(kernel.Resolver) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	s.duty = h.Go("log", kernel.Loop[[]byte]{Ring: s.ring, Handle: s.handle}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service. It writes the queued lines.
func (s *Service) Stop(context.Context) error {
	s.duty.End()
	for {
		line, ok := s.ring.TryGet()
		if !ok {
			return nil
		}
		s.handle(time.Time{}, line)
	}
}

// handle writes a line together with the lines queued behind it, then reports dropped lines.
func (s *Service) handle(_ time.Time, line []byte) {
	for range maxBatchLines - 1 {
		next, ok := s.ring.TryGet()
		if !ok {
			break
		}
		line = append(line, next...)
	}
	// There is no other place to report that the log cannot be written.
	_, _ = s.out.Write(line)
	if n := s.dropped.Swap(0); n > 0 && s.log != nil {
		s.metrics.Counter(metric.LogLinesDropped, "").Inc(n)
		s.log.Emit(event.LogDropped, n)
	}
}
