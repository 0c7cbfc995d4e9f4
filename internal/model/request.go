package model

import "time"

// RunState tells a caller whether a request ran.
type RunState uint8

// Run states, from the weakest claim to the strongest.
const (
	// NotRun means that no backend server ran the request and none will.
	NotRun RunState = iota
	// MayHaveRun means that the request was sent and its outcome is not known.
	MayHaveRun
	// Ran means that the request ran to its end.
	Ran
)

// String returns the form used in problem documents.
func (s RunState) String() string {
	switch s {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	case MayHaveRun:
	}
	return "may_have_run"
}

// Call is the content of a request as it goes to a backend server. Its encoding is the
// backend client's matter.
type Call struct {
	// Model is the model of a model call.
	Model PoolID
	// Prompt is the canonical prompt of a model call; empty for a plain call.
	Prompt []byte
	// MaxTokens bounds the answer of a model call.
	MaxTokens int
	// Adapter is the adapter a model call wants; empty for the base model.
	Adapter string
	// Method, Path, Query, ContentType and Body describe a plain call.
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Key is passed on to plain services so that they can recognise a repeat.
	Key string
}

// Answer is the whole answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Tokens is the number of generated tokens of a model answer.
	Tokens int
}

// Descriptor is what a dispatcher knows of a waiting request. It holds no body.
type Descriptor struct {
	ID           RequestID
	Pool         PoolID
	Team         TeamID
	Tier         Tier
	Arrived      time.Time
	Deadline     time.Time
	PromptTokens int
	OutputTokens int
	// Prefix holds the chain hashes of the prompt's prefixes, shortest first.
	Prefix  []uint64
	Adapter string
	// Key is zero for a request without an idempotency key.
	Key KeyHash
}

// Cost is the estimated work of the request in tokens. Requests differ a hundredfold in
// length, so shares are counted in tokens and not in requests.
func (d *Descriptor) Cost() int64 { return int64(max(d.PromptTokens+d.OutputTokens, 1)) }

// Grant tells an instance to dispatch one of its requests to a backend server.
type Grant struct {
	Request     RequestID
	Pool        PoolID
	Server      BackendServerID
	Incarnation Incarnation
	Epoch       Epoch
}

// Progress reports a granted request's course to the pool's dispatcher.
type Progress struct {
	Request RequestID
	Pool    PoolID
	Server  BackendServerID
	// Epoch is that of the grant.
	Epoch Epoch
	// Kind states what happened.
	Kind ProgressKind
	// FirstToken is the time from dispatch to the first token, if there was one.
	FirstToken time.Duration
	// PerToken is the mean time between tokens after the first.
	PerToken time.Duration
	// Tokens is the number of tokens generated so far.
	Tokens int
	// PrefillTokens is the number of prompt tokens that the engine computed anew.
	PrefillTokens int
}

// ProgressKind states what happened to a granted request.
type ProgressKind uint8

// Kinds of progress.
const (
	// ProgressReturned means that the grant was not used.
	ProgressReturned ProgressKind = iota
	// ProgressFirstToken reports the first token.
	ProgressFirstToken
	// ProgressFinished means that the whole answer arrived.
	ProgressFinished
	// ProgressFailed means that the call ended without a whole answer.
	ProgressFailed
	// ProgressCancelled means that the work was cancelled because its caller had gone.
	ProgressCancelled
)

// Final reports whether the request no longer occupies its backend server.
func (k ProgressKind) Final() bool { return k != ProgressFirstToken }
