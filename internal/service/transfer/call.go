package transfer

import (
	"time"

	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// call is a request at a backend server, with its answer in progress and the callers that receive it.
type call struct {
	outbound   port.Outbound
	keepAnswer bool
	callers    map[model.RequestID]*caller
	startedAt  time.Time

	headReceived bool
	status       int
	contentType  string
	// body is the answer from bodyOffset on. Unless keepAnswer is set, the part that all callers
	// have received is discarded.
	body       []byte
	bodyOffset int

	tokens        int
	prefillTokens int
	firstTokenAt  time.Time
	lastTokenAt   time.Time
	// ended is set when the answer is complete, concluded when callers may receive the end.
	ended      bool
	concluded  bool
	cancelling bool
}

// caller is a submission attached to a call.
type caller struct {
	events   *ring.Ring[model.AnswerEvent]
	headSent bool
	// offset is the number of bytes of the answer put in the caller's ring.
	offset int
	// blockedSince is when the caller's ring was first found full, or zero if it has room.
	blockedSince time.Time
	done         bool
}

// advance puts the events that the caller has not received in its ring, while there is room.
func (c *caller) advance(now time.Time, a *call) {
	if c.done {
		return
	}
	if !c.headSent && a.headReceived {
		c.headSent = c.offer(now, model.AnswerEvent{Kind: model.AnswerHead, Status: a.status, ContentType: a.contentType})
	}
	if end := a.bodyOffset + len(a.body); c.headSent && c.offset < end {
		// The data is copied because the call appends to body and truncates it.
		data := append([]byte(nil), a.body[c.offset-a.bodyOffset:]...)
		if c.offer(now, model.AnswerEvent{Kind: model.AnswerData, Data: data}) {
			c.offset = end
		}
	}
	if c.headSent && a.concluded && c.offset == a.bodyOffset+len(a.body) {
		if c.offer(now, model.AnswerEvent{Kind: model.AnswerEnd, Tokens: a.tokens}) {
			c.finish()
		}
	}
}

func (c *caller) offer(now time.Time, e model.AnswerEvent) bool {
	if c.events.Offer(e) == nil {
		c.blockedSince = time.Time{}
		return true
	}
	if c.blockedSince.IsZero() {
		c.blockedSince = now
	}
	return false
}

func (c *caller) finish() {
	c.done = true
	c.events.Close()
}

// fail ends the caller with a failure. If the ring has no room for the failure, closing it tells
// the front end that the answer is incomplete.
func (c *caller) fail(err error) {
	_ = c.events.Offer(model.AnswerEvent{Kind: model.AnswerFailed, Err: err})
	c.finish()
}

// advance delivers to all callers and discards the part of the body that none of them still needs.
func (a *call) advance(now time.Time) {
	minOffset := a.bodyOffset + len(a.body)
	for _, c := range a.callers {
		c.advance(now, a)
		if !c.done {
			minOffset = min(minOffset, c.offset)
		}
	}
	if !a.keepAnswer && minOffset > a.bodyOffset {
		a.body = append(a.body[:0], a.body[minOffset-a.bodyOffset:]...)
		a.bodyOffset = minOffset
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

// event returns a transfer event with the token counts and times of the call.
func (a *call) event(kind port.TransferKind) port.TransferEvent {
	e := port.TransferEvent{Request: a.outbound.Request, Kind: kind, Tokens: a.tokens, PrefillTokens: a.prefillTokens}
	if a.firstTokenAt.IsZero() {
		return e
	}
	e.FirstToken = a.firstTokenAt.Sub(a.startedAt)
	if a.tokens > 1 {
		e.PerToken = a.lastTokenAt.Sub(a.firstTokenAt) / time.Duration(a.tokens-1)
	}
	return e
}
