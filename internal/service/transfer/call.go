package transfer

import (
	"time"

	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// call is one answer in progress.
type call struct {
	out     port.Outbound
	keep    bool
	callers map[model.RequestID]*caller
	began   time.Time

	headed      bool
	status      int
	contentType string
	// body is the answer from offset base on. Without keep, what all callers have is cut off.
	body []byte
	base int

	tokens     int
	prefill    int
	firstAt    time.Time
	lastAt     time.Time
	ended      bool
	concluded  bool
	cancelling bool
}

// caller is a submission attached to a call.
type caller struct {
	events *ring.Ring[model.AnswerEvent]
	headed bool
	// sent is the offset up to which the caller has the answer.
	sent int
	// stuckSince is when the caller's ring was first found full, or zero.
	stuckSince time.Time
	done       bool
}

// advance gives the caller what it does not have yet, as far as its ring has room.
func (c *caller) advance(now time.Time, a *call) {
	if c.done {
		return
	}
	if !c.headed && a.headed {
		c.headed = c.offer(now, model.AnswerEvent{Kind: model.AnswerHead, Status: a.status, ContentType: a.contentType})
	}
	if end := a.base + len(a.body); c.headed && c.sent < end {
		// The slice is copied because the call appends to body and cuts it.
		data := append([]byte(nil), a.body[c.sent-a.base:]...)
		if c.offer(now, model.AnswerEvent{Kind: model.AnswerData, Data: data}) {
			c.sent = end
		}
	}
	if c.headed && a.concluded && c.sent == a.base+len(a.body) {
		if c.offer(now, model.AnswerEvent{Kind: model.AnswerEnd, Tokens: a.tokens}) {
			c.finish()
		}
	}
}

func (c *caller) offer(now time.Time, e model.AnswerEvent) bool {
	if c.events.Offer(e) == nil {
		c.stuckSince = time.Time{}
		return true
	}
	if c.stuckSince.IsZero() {
		c.stuckSince = now
	}
	return false
}

func (c *caller) finish() {
	c.done = true
	c.events.Close()
}

// fail ends the caller with a failure. If its ring is full, closing it tells the front end
// that the answer is not whole.
func (c *caller) fail(err error) {
	_ = c.events.Offer(model.AnswerEvent{Kind: model.AnswerFailed, Err: err})
	c.finish()
}

// advance moves all callers on and cuts off what nobody needs any more.
func (a *call) advance(now time.Time) {
	least := a.base + len(a.body)
	for _, c := range a.callers {
		c.advance(now, a)
		if !c.done {
			least = min(least, c.sent)
		}
	}
	if !a.keep && least > a.base {
		a.body = append(a.body[:0], a.body[least-a.base:]...)
		a.base = least
	}
}

// delivered reports whether every attached caller has the whole answer.
func (a *call) delivered() bool {
	for _, c := range a.callers {
		if !c.done {
			return false
		}
	}
	return true
}

func (a *call) event(kind port.TransferKind) port.TransferEvent {
	e := port.TransferEvent{Request: a.out.Request, Kind: kind, Tokens: a.tokens, PrefillTokens: a.prefill}
	if a.firstAt.IsZero() {
		return e
	}
	e.FirstToken = a.firstAt.Sub(a.began)
	if a.tokens > 1 {
		e.PerToken = a.lastAt.Sub(a.firstAt) / time.Duration(a.tokens-1)
	}
	return e
}
