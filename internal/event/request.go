package event

import "log/slog"

// Events of single requests (1000-1999).
var (
	RequestAccepted = define(1001, slog.LevelDebug, "request.accepted",
		"An instance accepted a request.", "request", "team", "tier", "pool", "deadline", "keyed")
	RequestDispatched = define(1002, slog.LevelInfo, "request.dispatched",
		"An instance sent a request to a backend server.", "request", "pool", "backend_server", "epoch", "waited")
	RequestFinished = define(1003, slog.LevelInfo, "request.finished",
		"The answer to a request arrived completely.", "request", "backend_server", "tokens", "first_token", "took")
	RequestRefused = define(1004, slog.LevelInfo, "request.refused",
		"A request was refused; run_state says whether it ran.", "request", "code", "run_state", "detail")
	RequestJoined = define(1005, slog.LevelInfo, "request.joined",
		"A retry joined an earlier attempt with the same idempotency key.", "request", "joined")
	RequestCancelled = define(1006, slog.LevelInfo, "request.cancelled",
		"A request was cancelled because its caller disconnected.", "request", "phase")
	RequestReturned = define(1007, slog.LevelInfo, "request.grant_returned",
		"A grant was returned without being used; the reason says why.", "request", "backend_server", "reason")
	RequestNotRun = define(1008, slog.LevelWarn, "request.not_admitted",
		"A backend server provably did not run a request; the request waits for another server.", "request", "backend_server", "error")
	RequestReplayed = define(1009, slog.LevelInfo, "request.replayed",
		"A request was answered with the stored outcome of its idempotency key.", "request", "outcome")
	StreamResumed = define(1010, slog.LevelWarn, "stream.resumed",
		"A silent or broken stream was resumed over a new connection.", "request", "backend_server", "from_token", "error")
	CallerDetached = define(1011, slog.LevelWarn, "caller.detached",
		"A caller that did not read its answer was detached.", "request", "caller_request")
)
