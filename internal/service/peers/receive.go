package peers

import (
	"context"
	"fmt"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/port"
	"briaryard/internal/wire/peerpb"
)

const (
	// roomTimeout is how long a message waits for room in the receiving service's ring.
	// It is below the time after which the other side sees silence.
	roomTimeout = time.Second
	roomPause   = 10 * time.Millisecond
)

// gapError reports that messages between the last received one and the next are missing.
type gapError struct{ received, next uint64 }

func (e *gapError) Error() string {
	return fmt.Sprintf("message %d follows %d", e.next, e.received)
}

// receiver is the receiving duty of a link.
type receiver struct {
	link *link
	// progress is of the incarnation whose messages arrive.
	progress progress
	// unreported and unreportedBytes count what has arrived since ackDue was last set.
	unreported      int
	unreportedBytes int
}

func (r *receiver) run(ctx context.Context, d *kernel.Duty) {
	for {
		c, err := r.link.recvConns.Get(ctx)
		if err != nil {
			return
		}
		if of := numberingOf(c); of != r.progress.of {
			r.progress = progress{of: of}
		}
		stop := context.AfterFunc(ctx, c.close)
		heard, err := r.receive(ctx, d, c)
		stop()
		c.close()
		_, gap := err.(*gapError)
		r.link.service.post(lost{conn: c, lastHeard: heard, reason: err.Error(), gap: gap})
	}
}

// receive reads frames until the connection fails or goes silent.
func (r *receiver) receive(ctx context.Context, d *kernel.Duty, c *conn) (time.Time, error) {
	heard := time.Now()
	for {
		ok, err := c.wait(suspectAfter)
		if err == nil && !ok {
			r.link.service.post(quiet{conn: c, lastHeard: heard})
			if ok, err = c.wait(silentAfter - suspectAfter); err == nil && ok {
				r.link.service.post(heardAgain{conn: c})
			}
		}
		switch {
		case err != nil:
			return heard, err
		case !ok:
			return heard, &fault.PeerProtocol{Reason: "no heartbeat"}
		}
		f, err := c.read()
		if err != nil {
			return heard, err
		}
		heard = time.Now()
		d.Touch(heard)
		if err := r.take(ctx, f); err != nil {
			return heard, err
		}
	}
}

// take handles one frame and tells the sending duty about acknowledgements.
func (r *receiver) take(ctx context.Context, f *peerpb.Frame) error {
	acknowledged := max(r.progress.acknowledged, f.GetAcknowledged())
	news := acknowledged != r.progress.acknowledged
	r.progress.acknowledged = acknowledged
	if m := f.GetMessage(); m != nil {
		if err := r.message(ctx, m); err != nil {
			return err
		}
		news = true
	}
	if news {
		_ = r.link.progress.Offer(r.progress)
	}
	if r.unreported >= ackEvery || r.unreportedBytes >= ackBytes {
		r.unreported, r.unreportedBytes = 0, 0
		_ = r.link.ackDue.Offer(struct{}{})
	}
	return nil
}

// message delivers a message that has not been delivered before.
func (r *receiver) message(ctx context.Context, m *peerpb.Message) error {
	switch id := m.GetId(); {
	case id <= r.progress.received:
		return nil
	case id != r.progress.received+1:
		return &gapError{received: r.progress.received, next: id}
	}
	if err := r.deliver(ctx, m); err != nil {
		return err
	}
	r.progress.received = m.GetId()
	r.unreported++
	r.unreportedBytes += len(m.GetBody())
	return nil
}

func (r *receiver) deliver(ctx context.Context, m *peerpb.Message) error {
	h, ok := r.link.service.handlers[m.GetService()]
	if !ok || h.codec == nil || h.sink == nil {
		r.invalid(m, "no such service")
		return nil
	}
	body, err := h.codec.Decode(m.GetBody())
	if err != nil {
		r.invalid(m, err.Error())
		return nil
	}
	message := port.PeerMessage{From: r.link.id, Incarnation: r.progress.of.incarnation, Body: body}
	return r.put(ctx, h.sink, message)
}

// put waits a limited time for room in the service's ring.
func (r *receiver) put(ctx context.Context, sink func(port.PeerMessage) error, m port.PeerMessage) error {
	err := sink(m)
	if !isFull(err) {
		return nil // a closed ring belongs to a service that has stopped
	}
	limit := time.NewTimer(roomTimeout)
	defer limit.Stop()
	pause := time.NewTicker(roomPause)
	defer pause.Stop()
	for {
		select {
		case <-pause.C:
			if err = sink(m); !isFull(err) {
				return nil
			}
		case <-limit.C:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *receiver) invalid(m *peerpb.Message, reason string) {
	r.link.service.log.Emit(event.PeerMessageInvalid, r.link.id, m.GetService(), reason)
}
