package model

import "time"

// RunState states whether a request ran, as reported to its caller.
type RunState uint8

// Run states, in the order of a request's progress.
const (
	// NotRun means that no backend server ran the request or will run it.
	NotRun RunState = iota
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun
	// Ran means that the request ran to completion.
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

// Call is the content of a request to a backend server. The backend client chooses its encoding.
type Call struct {
	// Model is the model of a model call.
	Model PoolID
	// Prompt is the canonical prompt of a model call; empty for a plain call.
	Prompt []byte
	// MaxTokens bounds the answer of a model call.
	MaxTokens int
	// Adapter is the adapter that a model call requests; empty for the base model.
	Adapter string
	// Method, Path, Query, ContentType and Body describe a plain call.
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Key is the idempotency key, forwarded to plain services so that they can detect a repeat.
	Key string
}

// Answer is the complete answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Tokens is the number of generated tokens of a model answer.
	Tokens int
}

// Descriptor holds the properties of a waiting request that a dispatcher uses, without the body.
type Descriptor struct {
	ID           RequestID
	Pool         PoolID
	Team         TeamID
	Tier         Tier
	Arrived      time.Time
	Deadline     time.Time
	PromptTokens int
	OutputTokens int
	// Prefix holds the hashes that PrefixHashes returns for the prompt, shortest prefix first.
	Prefix  []uint64
	Adapter string
	// Key is zero for a request without an idempotency key.
	Key KeyHash
}

// Cost returns the estimated cost of the request in tokens. The lengths of requests differ by a
// factor of 100, so shares are measured in tokens instead of requests.
func (d *Descriptor) Cost() int64 { return int64(max(d.PromptTokens+d.OutputTokens, 1)) }

// Grant authorizes an instance to send one of its requests to a backend server.
type Grant struct {
	Request     RequestID
	Pool        PoolID
	Server      BackendServerID
	Incarnation Incarnation
	Epoch       Epoch
}

// Progress reports the progress of a granted request to the pool's dispatcher.
type Progress struct {
	Request RequestID
	Pool    PoolID
	Server  BackendServerID
	// Epoch is the epoch of the grant.
	Epoch Epoch
	// Kind states what happened.
	Kind ProgressKind
	// FirstToken is the time from dispatch to the first token, if there was one.
	FirstToken time.Duration
	// PerToken is the mean time between tokens after the first.
	PerToken time.Duration
	// Tokens is the number of tokens generated so far.
	Tokens int
	// PrefillTokens is the number of prompt tokens that the engine computed, without cached ones.
	PrefillTokens int
}

// ProgressKind states what happened to a granted request.
type ProgressKind uint8

// Kinds of progress.
const (
	// ProgressReturned means that the grant was returned unused.
	ProgressReturned ProgressKind = iota
	// ProgressFirstToken reports the first token.
	ProgressFirstToken
	// ProgressFinished means that the complete answer arrived.
	ProgressFinished
	// ProgressFailed means that the call ended without a complete answer.
	ProgressFailed
	// ProgressCancelled means that the call was cancelled because its caller had disconnected.
	ProgressCancelled
)

// Final reports whether the request no longer occupies its backend server.
func (k ProgressKind) Final() bool { return k != ProgressFirstToken }
