package control

import (
	"context"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
)

// capture is a state to encode. The machine tells whose state it is.
type capture struct {
	machine *state.Machine
	view    *state.View
	began   time.Time
}

// encoded is a capture in the form of a snapshot file.
type encoded struct {
	capture
	data []byte
	err  error
}

// runSnapshot is the snapshot duty. Encoding takes longer than a tick, so that neither the
// control duty nor the sync duty may wait for it.
func (s *Service) runSnapshot(ctx context.Context, d *kernel.Duty) {
	loop := kernel.Loop[capture]{Ring: s.captures, Handle: func(_ time.Time, c capture) {
		data, err := s.codecs.EncodeSnapshot(c.view)
		_ = s.encodings.Offer(encoded{capture: c, data: data, err: err})
		// When the control ring is full, the control duty finds the snapshot after its next
		// message.
		_ = s.ring.Offer(wake{})
	}}
	loop.Run(ctx, d)
}

// compact has a snapshot encoded when the log has grown long. One is encoded at a time.
func (s *Service) compact(now time.Time) {
	s.takeSnapshot(now)
	if s.capturing || s.logged < compactEntries && s.logBytes < compactBytes {
		return
	}
	if s.captures.Offer(capture{machine: s.machine, view: s.machine.View(), began: now}) == nil {
		s.capturing = true
		s.logged, s.logBytes = 0, 0
	}
}

// takeSnapshot replaces the log by an encoded snapshot. A snapshot of a machine that was
// replaced meanwhile is dropped.
func (s *Service) takeSnapshot(now time.Time) {
	e, ok := s.encodings.TryGet()
	if !ok {
		return
	}
	s.capturing = false
	switch {
	case e.machine != s.machine:
	case e.err != nil:
		s.log.Emit(event.ControlEntryUnreadable, e.view.Applied, e.err)
	default:
		s.node.Compact(e.view.Applied, e.data)
		s.compacted = e.view.Applied
		s.log.Emit(event.ControlSnapshot, e.view.Applied, len(e.data), now.Sub(e.began))
	}
}
