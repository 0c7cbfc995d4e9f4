package port

import (
	"time"

	"briaryard/internal/model"
	"briaryard/internal/ring"
)

// EntryName is the name of the entry service.
const EntryName = "entry"

// Submission is a caller's request as submitted by a front end. Fields that the caller did
// not set are zero; the entry service applies the configured defaults.
type Submission struct {
	ID     model.RequestID
	Team   model.TeamID
	Caller model.CallerID
	Pool   model.PoolID
	Kind   model.ServerKind
	// Tier is nil if the caller sets none.
	Tier *model.Tier
	// Timeout is the time until the caller's deadline; zero if it sets none.
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
	// Submit submits a request. It returns fault.Overloaded if there is no room.
	Submit(s Submission) error
	// CallerGone reports that the caller of a submission has disconnected.
	CallerGone(id model.RequestID)
	// Drain makes the entry service refuse new requests. It calls done once, when all requests
	// and their answers have ended.
	Drain(done func())
}
