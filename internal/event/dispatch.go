package event

import "log/slog"

// Events of dispatchers (2000-2999).
var (
	DispatchGranted = define(2001, slog.LevelInfo, "dispatch.granted",
		"The dispatcher chose a backend server for a request; the fields are the inputs that decided it.",
		"request", "pool", "tier", "team", "backend_server", "epoch", "reason", "waiting", "outstanding")
	DispatchEvicted = define(2002, slog.LevelInfo, "dispatch.evicted",
		"The dispatcher removed a waiting request.", "request", "pool", "tier", "team", "reason", "waiting")
	DispatchDuplicate = define(2003, slog.LevelInfo, "dispatch.duplicate",
		"A waiting request has the key of one that has ended.", "request", "pool")
	DispatcherStarted = define(2004, slog.LevelInfo, "dispatcher.started",
		"This instance became the dispatcher of a pool.", "pool", "epoch")
	DispatcherStopped = define(2005, slog.LevelInfo, "dispatcher.stopped",
		"This instance is no longer the dispatcher of a pool.", "pool", "epoch")
	DispatcherReady = define(2006, slog.LevelInfo, "dispatcher.ready",
		"The dispatcher has rebuilt its state and grants from now on.", "pool", "epoch", "waiting", "outstanding", "took")
)
