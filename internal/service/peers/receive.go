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
	// deliveryTimeout is how long a message waits for room in the receiving service's ring.
	// It is shorter than suspectAfter, after which the other side reports this instance as
	// silent.
	deliveryTimeout       = time.Second
	deliveryRetryInterval = 10 * time.Millisecond
)

// gapError reports that messages between the last received one and the next one are missing.
type gapError struct{ received, next uint64 }

func (e *gapError) Error() string {
	return fmt.Sprintf("message %d follows %d", e.next, e.received)
}

// receiver is the state of the receiving duty of a link.
type receiver struct {
	link *link
	// progress belongs to the sequence space of the current connection.
	progress progress
	// sinceAckDue and bytesSinceAckDue count the messages and their bytes that have arrived
	// since ackDue was last set.
	sinceAckDue      int
	bytesSinceAckDue int
}

func (r *receiver) run(ctx context.Context, d *kernel.Duty) {
	for {
		c, err := r.link.recvConns.Get(ctx)
		if err != nil {
			return
		}
		if space := sequenceSpaceOf(c); space != r.progress.space {
			r.progress = progress{space: space}
		}
		stop := context.AfterFunc(ctx, c.close)
		lastHeard, err := r.receive(ctx, d, c)
		stop()
		c.close()
		_, gap := err.(*gapError)
		r.link.service.post(connLost{conn: c, lastHeard: lastHeard, reason: err.Error(), gap: gap})
	}
}

// receive reads frames until the connection fails or stays silent. It returns when data last
// arrived and the reason.
func (r *receiver) receive(ctx context.Context, d *kernel.Duty, c *conn) (time.Time, error) {
	lastHeard := time.Now()
	for {
		ok, err := c.waitReadable(suspectAfter)
		if err == nil && !ok {
			r.link.service.post(connSilent{conn: c, lastHeard: lastHeard})
			if ok, err = c.waitReadable(silentAfter - suspectAfter); err == nil && ok {
				r.link.service.post(connResumed{conn: c})
			}
		}
		switch {
		case err != nil:
			return lastHeard, err
		case !ok:
			return lastHeard, &fault.PeerProtocol{Reason: "no heartbeat"}
		}
		f, err := c.read()
		if err != nil {
			return lastHeard, err
		}
		lastHeard = time.Now()
		d.Touch(lastHeard)
		if err := r.handleFrame(ctx, f); err != nil {
			return lastHeard, err
		}
	}
}

// handleFrame handles one frame and reports progress to the sending duty.
func (r *receiver) handleFrame(ctx context.Context, f *peerpb.Frame) error {
	acknowledged := max(r.progress.acknowledged, f.GetAcknowledged())
	changed := acknowledged != r.progress.acknowledged
	r.progress.acknowledged = acknowledged
	if m := f.GetMessage(); m != nil {
		if err := r.handleMessage(ctx, m); err != nil {
			return err
		}
		changed = true
	}
	if changed {
		_ = r.link.progress.Offer(r.progress)
	}
	if r.sinceAckDue >= ackMessages || r.bytesSinceAckDue >= ackBytes {
		r.sinceAckDue, r.bytesSinceAckDue = 0, 0
		_ = r.link.ackDue.Offer(struct{}{})
	}
	return nil
}

// handleMessage delivers a message unless it is a duplicate.
func (r *receiver) handleMessage(ctx context.Context, m *peerpb.Message) error {
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
	r.sinceAckDue++
	r.bytesSinceAckDue += len(m.GetBody())
	return nil
}

// deliver decodes a message and passes it to its service. A message of an unknown service or with
// an invalid body is logged and dropped.
func (r *receiver) deliver(ctx context.Context, m *peerpb.Message) error {
	h, ok := r.link.service.handlers[m.GetService()]
	if !ok || h.codec == nil || h.sink == nil {
		r.logInvalid(m, "no such service")
		return nil
	}
	body, err := h.codec.Decode(m.GetBody())
	if err != nil {
		r.logInvalid(m, err.Error())
		return nil
	}
	message := port.PeerMessage{From: r.link.id, Incarnation: r.progress.space.incarnation, Body: body}
	return r.offerWithRetry(ctx, h.sink, message)
}

// offerWithRetry puts a message in the service's ring; it waits up to deliveryTimeout for room.
func (r *receiver) offerWithRetry(ctx context.Context, sink func(port.PeerMessage) error, m port.PeerMessage) error {
	err := sink(m)
	if !isFull(err) {
		return nil // a closed ring belongs to a service that has stopped
	}
	limit := time.NewTimer(deliveryTimeout)
	defer limit.Stop()
	pause := time.NewTicker(deliveryRetryInterval)
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

func (r *receiver) logInvalid(m *peerpb.Message, reason string) {
	r.link.service.log.Emit(event.PeerMessageInvalid, r.link.id, m.GetService(), reason)
}
