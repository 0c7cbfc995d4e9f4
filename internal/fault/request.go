package fault

import (
	"fmt"
	"net/http"
	"time"

	"briaryard/internal/model"
)

// Codes of failures of single requests.
var (
	CodeInternal           = register("internal", "Internal failure", http.StatusInternalServerError, model.MayHaveRun, ExitInternal)
	CodeInvalidRequest     = register("invalid-request", "Invalid request", http.StatusBadRequest, model.NotRun, ExitUsage)
	CodeInvalidHeader      = register("invalid-header", "Invalid header", http.StatusBadRequest, model.NotRun, ExitUsage)
	CodeBodyTooLarge       = register("body-too-large", "Body too large", http.StatusRequestEntityTooLarge, model.NotRun, ExitUsage)
	CodeBodyTimeout        = register("body-timeout", "Body did not arrive in time", http.StatusRequestTimeout, model.NotRun, ExitUnavailable)
	CodeUnknownPool        = register("unknown-pool", "Unknown model or service", http.StatusNotFound, model.NotRun, ExitInvalid)
	CodeUnknownTeam        = register("unknown-team", "Unknown team", http.StatusForbidden, model.NotRun, ExitInvalid)
	CodeUnauthorized       = register("unauthorized", "Missing or wrong token", http.StatusUnauthorized, model.NotRun, ExitInvalid)
	CodeTierNotAllowed     = register("tier-not-allowed", "Tier not allowed", http.StatusForbidden, model.NotRun, ExitInvalid)
	CodeKeyRequired        = register("idempotency-key-required", "Idempotency key required", http.StatusBadRequest, model.NotRun, ExitUsage)
	CodeKeyMismatch        = register("idempotency-key-mismatch", "Idempotency key used for another request", http.StatusUnprocessableEntity, model.NotRun, ExitConflict)
	CodeRateLimited        = register("rate-limited", "Rate limit reached", http.StatusTooManyRequests, model.NotRun, ExitUnavailable)
	CodeConcurrencyLimited = register("concurrency-limited", "Too many requests in progress", http.StatusTooManyRequests, model.NotRun, ExitUnavailable)
	CodeOverloaded         = register("overloaded", "No room for waiting requests", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeShed               = register("shed", "Request shed for more urgent work", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeDeadline           = register("deadline-unreachable", "Deadline cannot be met", http.StatusGatewayTimeout, model.NotRun, ExitUnavailable)
	CodeNoServer           = register("no-backend-server", "No backend server for the model or service", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeStopping           = register("stopping", "Instance is stopping", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeWithdrawn          = register("withdrawn", "Instance cannot confirm its configuration", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeServerRefused      = register("backend-server-refused", "Backend server did not admit the request", http.StatusBadGateway, model.NotRun, ExitUnavailable)
	CodeInterrupted        = register("answer-interrupted", "Answer interrupted", http.StatusBadGateway, model.MayHaveRun, ExitUnavailable)
	CodeOutcomeUnknown     = register("outcome-unknown", "Outcome of an earlier attempt is unknown", http.StatusConflict, model.MayHaveRun, ExitUnavailable)
	CodeAnswerNotKept      = register("answer-not-kept", "Request ran but its answer is not kept", http.StatusGone, model.Ran, ExitUnavailable)
	CodeCallerSlow         = register("caller-slow", "Caller did not read its answer", http.StatusRequestTimeout, model.MayHaveRun, ExitUnavailable)
	CodeClaimUnanswered    = register("claim-unanswered", "Idempotency key could not be claimed in time", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeSuperseded         = register("superseded", "Key was refused after this attempt began", http.StatusConflict, model.NotRun, ExitConflict)
)

// Internal wraps an error that is not a Fault.
type Internal struct{ Err error }

// Code implements Fault.
func (e *Internal) Code() Code    { return CodeInternal }
func (e *Internal) Error() string { return fmt.Sprintf("internal failure: %v", e.Err) }

// Unwrap returns the cause.
func (e *Internal) Unwrap() error { return e.Err }

// InvalidRequest reports a malformed request body or path.
type InvalidRequest struct{ Field, Reason string }

// Code implements Fault.
func (e *InvalidRequest) Code() Code { return CodeInvalidRequest }
func (e *InvalidRequest) Error() string {
	return fmt.Sprintf("field %s: %s", e.Field, e.Reason)
}

// InvalidHeader reports a header that cannot be used.
type InvalidHeader struct{ Header, Reason string }

// Code implements Fault.
func (e *InvalidHeader) Code() Code { return CodeInvalidHeader }
func (e *InvalidHeader) Error() string {
	return fmt.Sprintf("header %s: %s", e.Header, e.Reason)
}

// BodyTooLarge reports a request body that exceeds the limit in bytes.
type BodyTooLarge struct{ Limit int }

// Code implements Fault.
func (e *BodyTooLarge) Code() Code    { return CodeBodyTooLarge }
func (e *BodyTooLarge) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }

// BodyTimeout reports a request body that did not arrive in time.
type BodyTimeout struct{ After time.Duration }

// Code implements Fault.
func (e *BodyTimeout) Code() Code { return CodeBodyTimeout }
func (e *BodyTimeout) Error() string {
	return fmt.Sprintf("the body did not arrive within %v", e.After)
}

// UnknownPool reports a model or service that is not declared.
type UnknownPool struct{ Pool model.PoolID }

// Code implements Fault.
func (e *UnknownPool) Code() Code { return CodeUnknownPool }
func (e *UnknownPool) Error() string {
	return fmt.Sprintf("model or service %q is not declared", e.Pool)
}

// UnknownTeam reports a team that is not declared.
type UnknownTeam struct{ Team model.TeamID }

// Code implements Fault.
func (e *UnknownTeam) Code() Code    { return CodeUnknownTeam }
func (e *UnknownTeam) Error() string { return fmt.Sprintf("team %q is not declared", e.Team) }

// Unauthorized reports a missing or wrong token. It never holds the token.
type Unauthorized struct{ Role string }

// Code implements Fault.
func (e *Unauthorized) Code() Code    { return CodeUnauthorized }
func (e *Unauthorized) Error() string { return "missing or wrong " + e.Role + " token" }

// TierNotAllowed reports a requested tier above the highest one that the team may use.
type TierNotAllowed struct {
	Team           model.TeamID
	Asked, Highest model.Tier
}

// Code implements Fault.
func (e *TierNotAllowed) Code() Code { return CodeTierNotAllowed }
func (e *TierNotAllowed) Error() string {
	return fmt.Sprintf("team %q may ask for tier %s at most, not %s", e.Team, e.Highest, e.Asked)
}

// KeyRequired reports a request to a non-idempotent route without an idempotency key.
type KeyRequired struct{ Method, Path string }

// Code implements Fault.
func (e *KeyRequired) Code() Code { return CodeKeyRequired }
func (e *KeyRequired) Error() string {
	return fmt.Sprintf("%s %s may not be repeated and needs an Idempotency-Key header", e.Method, e.Path)
}

// KeyMismatch reports an idempotency key that was already used by a different request.
type KeyMismatch struct{}

// Code implements Fault.
func (e *KeyMismatch) Code() Code    { return CodeKeyMismatch }
func (e *KeyMismatch) Error() string { return "the idempotency key belongs to a different request" }

// RateLimited reports a request that exceeds the rate limit of its team or caller.
type RateLimited struct {
	Team  model.TeamID
	After time.Duration
}

// Code implements Fault.
func (e *RateLimited) Code() Code    { return CodeRateLimited }
func (e *RateLimited) Error() string { return fmt.Sprintf("team %q is above its rate", e.Team) }

// RetryAfter implements Retryable.
func (e *RateLimited) RetryAfter() time.Duration { return e.After }

// ConcurrencyLimited reports a request that exceeds the limit of concurrent requests of its team or
// caller.
type ConcurrencyLimited struct {
	Team  model.TeamID
	Limit int
}

// Code implements Fault.
func (e *ConcurrencyLimited) Code() Code { return CodeConcurrencyLimited }
func (e *ConcurrencyLimited) Error() string {
	return fmt.Sprintf("team %q has %d requests in progress", e.Team, e.Limit)
}

// RetryAfter implements Retryable.
func (e *ConcurrencyLimited) RetryAfter() time.Duration { return time.Second }

// Overloaded reports a full ring or a full queue of waiting requests.
type Overloaded struct{ Resource string }

// Code implements Fault.
func (e *Overloaded) Code() Code    { return CodeOverloaded }
func (e *Overloaded) Error() string { return e.Resource + " is full" }

// RetryAfter implements Retryable.
func (e *Overloaded) RetryAfter() time.Duration { return time.Second }

// Shed reports a waiting request that was evicted in favour of other requests.
type Shed struct{ Tier model.Tier }

// Code implements Fault.
func (e *Shed) Code() Code    { return CodeShed }
func (e *Shed) Error() string { return fmt.Sprintf("request of tier %s was shed", e.Tier) }

// RetryAfter implements Retryable.
func (e *Shed) RetryAfter() time.Duration { return 2 * time.Second }

// DeadlineUnreachable reports a request that cannot be answered before its deadline.
type DeadlineUnreachable struct{ Deadline time.Time }

// Code implements Fault.
func (e *DeadlineUnreachable) Code() Code { return CodeDeadline }
func (e *DeadlineUnreachable) Error() string {
	return "deadline " + e.Deadline.UTC().Format(time.RFC3339Nano) + " cannot be met"
}

// NoServer reports a request for a pool without an available backend server.
type NoServer struct{ Pool model.PoolID }

// Code implements Fault.
func (e *NoServer) Code() Code    { return CodeNoServer }
func (e *NoServer) Error() string { return fmt.Sprintf("no backend server serves %q", e.Pool) }

// RetryAfter implements Retryable.
func (e *NoServer) RetryAfter() time.Duration { return 2 * time.Second }

// Stopping reports an instance that accepts no new requests because it is stopping.
type Stopping struct{ Instance model.InstanceID }

// Code implements Fault.
func (e *Stopping) Code() Code    { return CodeStopping }
func (e *Stopping) Error() string { return fmt.Sprintf("instance %q is stopping", e.Instance) }

// RetryAfter implements Retryable.
func (e *Stopping) RetryAfter() time.Duration { return time.Second }

// Withdrawn reports an instance that accepts no new requests because it cannot confirm its
// configuration.
type Withdrawn struct{ Instance model.InstanceID }

// Code implements Fault.
func (e *Withdrawn) Code() Code { return CodeWithdrawn }
func (e *Withdrawn) Error() string {
	return fmt.Sprintf("instance %q cannot confirm its configuration", e.Instance)
}

// RetryAfter implements Retryable.
func (e *Withdrawn) RetryAfter() time.Duration { return 2 * time.Second }

// ServerRefused reports a request that the backend server provably did not run.
type ServerRefused struct {
	Server model.BackendServerID
	Err    error
}

// Code implements Fault.
func (e *ServerRefused) Code() Code { return CodeServerRefused }
func (e *ServerRefused) Error() string {
	return fmt.Sprintf("backend server %q did not admit the request: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *ServerRefused) Unwrap() error { return e.Err }

// Interrupted reports an answer that ended before it was complete.
type Interrupted struct {
	Server model.BackendServerID
	Err    error
}

// Code implements Fault.
func (e *Interrupted) Code() Code { return CodeInterrupted }
func (e *Interrupted) Error() string {
	return fmt.Sprintf("answer of backend server %q was interrupted: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *Interrupted) Unwrap() error { return e.Err }

// OutcomeUnknown reports an idempotency key whose earlier attempt may have run.
type OutcomeUnknown struct{}

// Code implements Fault.
func (e *OutcomeUnknown) Code() Code    { return CodeOutcomeUnknown }
func (e *OutcomeUnknown) Error() string { return "an earlier attempt with this key may have run" }

// AnswerNotKept reports an idempotency key whose request ran but whose answer is no longer stored.
type AnswerNotKept struct{}

// Code implements Fault.
func (e *AnswerNotKept) Code() Code    { return CodeAnswerNotKept }
func (e *AnswerNotKept) Error() string { return "the request ran but its answer is no longer kept" }

// CallerSlow reports a caller that was detached because it did not read its answer in time.
type CallerSlow struct{}

// Code implements Fault.
func (e *CallerSlow) Code() Code    { return CodeCallerSlow }
func (e *CallerSlow) Error() string { return "the caller did not read its answer in time" }

// Superseded reports an attempt whose idempotency key was refused as not_run for another attempt
// after this one began.
type Superseded struct{}

// Code implements Fault.
func (e *Superseded) Code() Code    { return CodeSuperseded }
func (e *Superseded) Error() string { return "another attempt with this key was refused meanwhile" }

// KeyUnchecked reports a request with an idempotency key that was refused without looking up the
// key in the control group. This attempt did not run, but an earlier one may have.
type KeyUnchecked struct{ Cause Fault }

// Code implements Fault.
func (e *KeyUnchecked) Code() Code { return e.Cause.Code() }
func (e *KeyUnchecked) Error() string {
	return e.Cause.Error() + "; this attempt did not run, an earlier one with the key may have"
}

// RunState implements RunStateFault.
func (e *KeyUnchecked) RunState() model.RunState { return model.MayHaveRun }

// RetryAfter implements Retryable.
func (e *KeyUnchecked) RetryAfter() time.Duration { return RetryAfterOf(e.Cause) }

// Unwrap returns the cause.
func (e *KeyUnchecked) Unwrap() error { return e.Cause }

// ClaimUnanswered reports a request that was not dispatched because the claim of its idempotency key
// was not answered in time.
type ClaimUnanswered struct{}

// Code implements Fault.
func (e *ClaimUnanswered) Code() Code    { return CodeClaimUnanswered }
func (e *ClaimUnanswered) Error() string { return "the idempotency key could not be claimed in time" }

// RetryAfter implements Retryable.
func (e *ClaimUnanswered) RetryAfter() time.Duration { return time.Second }
