package event

import "log/slog"

// Events of dispatchers (2000-2999).
var (
	DispatchGranted = define(2001, slog.LevelInfo, "dispatch.granted",
		"The dispatcher granted a backend server to a request; the fields are the inputs of the decision.",
		"request", "pool", "tier", "team", "backend_server", "epoch", "reason", "waiting", "outstanding")
	DispatchEvicted = define(2002, slog.LevelInfo, "dispatch.evicted",
		"The dispatcher evicted a waiting request.", "request", "pool", "tier", "team", "reason", "waiting")
	DispatchDuplicate = define(2003, slog.LevelInfo, "dispatch.duplicate",
		"Another attempt with the idempotency key of a waiting request has ended.", "request", "pool")
	DispatcherStarted = define(2004, slog.LevelInfo, "dispatcher.started",
		"This instance became the dispatcher of a pool.", "pool", "epoch")
	DispatcherStopped = define(2005, slog.LevelInfo, "dispatcher.stopped",
		"This instance is no longer the dispatcher of a pool.", "pool", "epoch")
	DispatcherReady = define(2006, slog.LevelInfo, "dispatcher.ready",
		"The dispatcher has rebuilt its state and starts to grant backend servers.", "pool", "epoch", "waiting", "outstanding", "took")
	PlacementStarted = define(2010, slog.LevelInfo, "placement.started",
		"This instance acquired the placement lease and sends orders to engines.", "epoch")
	PlacementStopped = define(2011, slog.LevelInfo, "placement.stopped",
		"This instance sends no more orders: it no longer holds the placement lease or cannot confirm that it does.", "epoch")
	PlacementOrdered = define(2012, slog.LevelInfo, "placement.ordered",
		"Placement decided on an order to an engine; the fields are the inputs of the decision.",
		"order", "kind", "backend_server", "model", "adapter", "reason", "pool", "failure_domain", "want", "have",
		"loads", "load_limit", "gains", "loses", "checks_fencing")
	PlacementWithheld = define(2013, slog.LevelInfo, "placement.withheld",
		"A pool has too few engines in a failure domain and placement issues no order for now.",
		"reason", "pool", "failure_domain", "want", "have", "loads", "load_limit")
	PlacementAnswered = define(2014, slog.LevelInfo, "placement.answered",
		"An order was answered by the engine, was not sent, or has an unknown outcome.",
		"order", "outcome", "failure")
	PlacementSettled = define(2015, slog.LevelInfo, "placement.settled",
		"An order is no longer outstanding.", "order", "kind", "backend_server", "model", "adapter", "reason")
)
