package fault

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"briaryard/internal/model"
)

// Codes of failures of routed requests.
var (
	CodeUnconfirmed       = register("config-unconfirmed", "Configuration is unknown or not confirmed", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeUnknownRoute      = register("unknown-route", "No route for the host and path", http.StatusNotFound, model.NotRun, ExitInvalid)
	CodeUnknownKey        = register("unknown-key", "Missing or unknown key", http.StatusUnauthorized, model.NotRun, ExitInvalid)
	CodeOverAllotment     = register("over-allotment", "Allotment of the team is used up", http.StatusTooManyRequests, model.NotRun, ExitUnavailable)
	CodeNotServed         = register("not-served", "No backend server can answer in time", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeNoSecondTry       = register("no-second-try", "Backend server refused and no further try is allowed", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeAnswerLost        = register("answer-lost", "Answer of the backend server was lost", http.StatusBadGateway, model.MayHaveRun, ExitUnavailable)
	CodeTimedOut          = register("timed-out", "Time of the request is over", http.StatusGatewayTimeout, model.MayHaveRun, ExitUnavailable)
	CodeStreamCut         = register("stream-cut", "Stream could not be finished", http.StatusBadGateway, model.Ran, ExitUnavailable)
	CodePromptQuarantined = register("prompt-quarantined", "Requests with a part of the prompt crash backend servers", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeInvalidDocument   = register("invalid-document", "Configuration of routes is invalid", http.StatusBadRequest, model.NotRun, ExitInvalid)
	CodeInvalidServer     = register("invalid-announcement", "Announcement of a backend server is invalid", http.StatusBadRequest, model.NotRun, ExitInvalid)
	CodeInstanceClosed    = register("instance-closing", "Instance takes no new requests", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
)

// Unconfirmed reports that the instance knows no configuration, or cannot confirm that the one it
// knows is still the accepted one.
type Unconfirmed struct {
	Revision model.Revision
	// Age is the time since the revision was last confirmed to be the accepted one.
	Age time.Duration
}

// Code implements Fault.
func (e *Unconfirmed) Code() Code { return CodeUnconfirmed }
func (e *Unconfirmed) Error() string {
	if e.Revision == 0 {
		return "no configuration is known yet"
	}
	return fmt.Sprintf("revision %d was last confirmed %v ago", e.Revision, e.Age)
}

// RetryAfter implements Retryable. Another instance may have a confirmed configuration.
func (e *Unconfirmed) RetryAfter() time.Duration { return 200 * time.Millisecond }

// UnknownRoute reports a host and path without a route.
type UnknownRoute struct {
	Host, Path string
	Revision   model.Revision
}

// Code implements Fault.
func (e *UnknownRoute) Code() Code { return CodeUnknownRoute }
func (e *UnknownRoute) Error() string {
	return fmt.Sprintf("revision %d has no route for %s%s", e.Revision, e.Host, e.Path)
}

// UnknownKey reports a missing API key, or one that belongs to no team.
type UnknownKey struct {
	Missing  bool
	Revision model.Revision
}

// Code implements Fault.
func (e *UnknownKey) Code() Code { return CodeUnknownKey }
func (e *UnknownKey) Error() string {
	if e.Missing {
		return "the request has no key"
	}
	return fmt.Sprintf("no team holds the key in revision %d", e.Revision)
}

// OverAllotment reports a request that exceeds the allotment of its team. Wait is the time until the
// allotment has room for it.
type OverAllotment struct {
	Team model.TeamID
	Wait time.Duration
}

// Code implements Fault.
func (e *OverAllotment) Code() Code { return CodeOverAllotment }
func (e *OverAllotment) Error() string {
	return fmt.Sprintf("the allotment of team %q has room in %v", e.Team, e.Wait)
}

// RetryAfter implements Retryable.
func (e *OverAllotment) RetryAfter() time.Duration { return e.Wait }

// NotServed reports a request that no backend server could start to answer in time.
type NotServed struct {
	Service model.PoolID
	Reason  string
	Wait    time.Duration
}

// Code implements Fault.
func (e *NotServed) Code() Code { return CodeNotServed }
func (e *NotServed) Error() string {
	return fmt.Sprintf("service %q cannot take the request: %s", e.Service, e.Reason)
}

// RetryAfter implements Retryable.
func (e *NotServed) RetryAfter() time.Duration { return e.Wait }

// PromptQuarantined reports a request with a part of its prompt with which requests have crashed backend
// servers. Wait is the time until such a request is tried again.
type PromptQuarantined struct {
	Part model.PromptPart
	// Crashed is the number of servers that have crashed, as far as they are known.
	Crashed int
	Wait    time.Duration
}

// Code implements Fault.
func (e *PromptQuarantined) Code() Code { return CodePromptQuarantined }
func (e *PromptQuarantined) Error() string {
	return fmt.Sprintf("%d backend servers crashed while they began to answer requests with prompt part %q; the next is tried in %v", e.Crashed, e.Part, e.Wait.Round(time.Millisecond))
}

// RetryAfter implements Retryable.
func (e *PromptQuarantined) RetryAfter() time.Duration { return e.Wait }

// NoSecondTry reports a request that a backend server refused without running it, when the retry
// limit does not allow a second attempt at another server.
type NoSecondTry struct {
	Server model.BackendServerID
	Err    error
}

// Code implements Fault.
func (e *NoSecondTry) Code() Code { return CodeNoSecondTry }
func (e *NoSecondTry) Error() string {
	return fmt.Sprintf("backend server %q did not run the request: %v", e.Server, e.Err)
}

// RetryAfter implements Retryable.
func (e *NoSecondTry) RetryAfter() time.Duration { return 300 * time.Millisecond }

// Unwrap returns the cause.
func (e *NoSecondTry) Unwrap() error { return e.Err }

// AnswerLost reports a call whose answer did not arrive or is unusable. The request may have run.
type AnswerLost struct {
	Server model.BackendServerID
	Err    error
}

// Code implements Fault.
func (e *AnswerLost) Code() Code { return CodeAnswerLost }
func (e *AnswerLost) Error() string {
	return fmt.Sprintf("the answer of backend server %q was lost: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *AnswerLost) Unwrap() error { return e.Err }

// TimedOut reports a request that a backend server did not answer within its time limit.
type TimedOut struct {
	Server model.BackendServerID
	After  time.Duration
}

// Code implements Fault.
func (e *TimedOut) Code() Code { return CodeTimedOut }
func (e *TimedOut) Error() string {
	return fmt.Sprintf("backend server %q has not finished after %v", e.Server, e.After)
}

// StreamCut reports an answer that was aborted after the caller had received a part of it.
type StreamCut struct {
	Server model.BackendServerID
	Err    error
}

// Code implements Fault.
func (e *StreamCut) Code() Code { return CodeStreamCut }
func (e *StreamCut) Error() string {
	return fmt.Sprintf("the stream of backend server %q cannot go on: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *StreamCut) Unwrap() error { return e.Err }

// InstanceClosing reports an instance that accepts no new requests because it is being stopped.
type InstanceClosing struct{}

// Code implements Fault.
func (e *InstanceClosing) Code() Code    { return CodeInstanceClosed }
func (e *InstanceClosing) Error() string { return "the instance is being stopped" }

// RetryAfter implements Retryable. Another instance can accept the request at once.
func (e *InstanceClosing) RetryAfter() time.Duration { return 50 * time.Millisecond }

// MalformedAnswer reports a response of a backend server that is not a valid answer to the request.
type MalformedAnswer struct{ Reason string }

func (e *MalformedAnswer) Error() string { return "malformed answer: " + e.Reason }

// ServerRefusal reports a response of a backend server which states that it did not run the request.
type ServerRefusal struct{ Status int }

func (e *ServerRefusal) Error() string {
	return fmt.Sprintf("the server answered %d and did not run the request", e.Status)
}

// ServerBarred reports a call that was not sent because its server has meanwhile said that it leaves, or
// that it wants no request from this instance for a while.
type ServerBarred struct {
	Server  model.BackendServerID
	Leaving bool
}

func (e *ServerBarred) Error() string {
	if e.Leaving {
		return fmt.Sprintf("backend server %q leaves", e.Server)
	}
	return fmt.Sprintf("backend server %q wants no request now", e.Server)
}

// CallCancelled reports a call to a backend server that this instance cancelled.
type CallCancelled struct{ Reason string }

func (e *CallCancelled) Error() string { return "the call was cancelled: " + e.Reason }

// InvalidDocument reports all errors of a configuration of routes.
type InvalidDocument struct{ Faults []string }

// Code implements Fault.
func (e *InvalidDocument) Code() Code    { return CodeInvalidDocument }
func (e *InvalidDocument) Error() string { return strings.Join(e.Faults, "; ") }

// InvalidAnnouncement reports an invalid field in the announcement of a backend server.
type InvalidAnnouncement struct{ Field, Reason string }

// Code implements Fault.
func (e *InvalidAnnouncement) Code() Code    { return CodeInvalidServer }
func (e *InvalidAnnouncement) Error() string { return "field " + e.Field + ": " + e.Reason }
