package port

import (
	"time"

	"briaryard/internal/model"
	"briaryard/internal/ring"
)

// EntryName is the name of the entry service.
const EntryName = "entry"

// Submission is a caller's request as a front end hands it over. Fields that the caller
// left out are zero; the entry service applies the configured defaults.
type Submission struct {
	ID     model.RequestID
	Team   model.TeamID
	Caller model.CallerID
	Pool   model.PoolID
	Kind   model.ServerKind
	// Tier is nil when the caller states none.
	Tier *model.Tier
	// Timeout is the time until the caller's deadline; zero when it states none.
	Timeout time.Duration
	// Key is the idempotency key, or empty.
	Key  string
	Call model.Call
	// Events receives the answer. The front end is its only consumer.
	Events *ring.Ring[model.AnswerEvent]
}

// Entry accepts requests from front ends.
type Entry interface {
	// NewRequestID returns an id for the next submission.
	NewRequestID() model.RequestID
	// Submit hands a request over. It returns fault.Overloaded if there is no room.
	Submit(s Submission) error
	// CallerGone reports that the caller of a submission has disconnected.
	CallerGone(id model.RequestID)
	// Drain makes the entry refuse new requests. Done is called once, when every request
	// and its answer has ended.
	Drain(done func())
}
