package port

import (
	"time"

	"briaryard/internal/model"
	"briaryard/internal/ring"
)

// TransferName is the name of the service that transfers answers.
const TransferName = "transfer"

// Outbound is a request to be sent to a backend server.
type Outbound struct {
	Request model.RequestID
	Server  model.BackendServer
	Epoch   model.Epoch
	Call    model.Call
}

// Transfer transfers answers from backend servers to callers.
type Transfer interface {
	// Begin opens the call and attaches the callers. If keep is set, the complete answer is
	// retained and the call continues without callers, as a request with an idempotency key
	// requires.
	Begin(o Outbound, keep bool, callers map[model.RequestID]*ring.Ring[model.AnswerEvent])
	// Join attaches another caller, which receives the answer from the beginning.
	Join(request, caller model.RequestID, events *ring.Ring[model.AnswerEvent])
	// Leave detaches a caller.
	Leave(request, caller model.RequestID)
	// Conclude sends the final event to the callers of a kept answer.
	Conclude(request model.RequestID)
	// Attach sets the receiver of transfer events. It is called during Provision. The sink
	// does not block; it returns ring.FullError when there is no room.
	Attach(sink func(TransferEvent) error)
}

// TransferKind states what happened to a transfer.
type TransferKind uint8

// Kinds of transfer events.
const (
	// TransferFirstToken reports the first data of an answer.
	TransferFirstToken TransferKind = iota
	// TransferEnded means that the complete answer has arrived. A kept answer waits for Conclude.
	TransferEnded
	// TransferNotRun means that the call provably did not run; no event was sent to callers.
	TransferNotRun
	// TransferFailed means that the answer was interrupted. The callers have been notified.
	TransferFailed
	// TransferCancelled means that the call was cancelled because no caller was left.
	TransferCancelled
	// TransferDetached means that a slow caller was detached; Caller names it.
	TransferDetached
	// TransferMissed means that a submission arrived too late to join; Caller and Events identify
	// it.
	TransferMissed
)

// TransferEvent reports the progress of a transfer to the entry service.
type TransferEvent struct {
	Request model.RequestID
	Kind    TransferKind
	Caller  model.RequestID
	Events  *ring.Ring[model.AnswerEvent]
	// Answer is set with TransferEnded if the answer was kept.
	Answer *model.Answer
	// FirstToken, PerToken, Tokens and PrefillTokens describe the part of the call that completed.
	FirstToken    time.Duration
	PerToken      time.Duration
	Tokens        int
	PrefillTokens int
	Err           error
}
