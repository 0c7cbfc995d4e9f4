package event

import "log/slog"

// Events of the process (100-199).
var (
	ProcessStarted = define(101, slog.LevelInfo, "process.started",
		"The instance has started all services.", "instance", "incarnation", "failure_domain")
	ProcessStopping = define(102, slog.LevelInfo, "process.stopping",
		"The instance started its graceful stop.", "instance")
	ProcessStopped = define(103, slog.LevelInfo, "process.stopped",
		"The instance has stopped.", "instance", "exit_code")
	SettingsChanged = define(108, slog.LevelInfo, "process.settings_changed",
		"The process received a signal that its settings have changed; the contacts are read again when they are needed.", "instance")
	DutyPanicked = define(104, slog.LevelError, "duty.panicked",
		"A duty panicked; the process exits because the state of the duty may be inconsistent.", "error", "stack")
	ListenerOpened = define(105, slog.LevelInfo, "listener.opened",
		"A service opened a port.", "service", "address", "tls")
	RingRefused = define(106, slog.LevelWarn, "ring.refused",
		"A message was dropped because the receiver's ring was full.", "ring", "message")
	HTTPError = define(107, slog.LevelWarn, "http.error",
		"The HTTP server of a listener reported an error, most often a failed TLS handshake; at most 10 a minute for each listener.",
		"service", "error", "left_out")
	CallerRefused = define(1116, slog.LevelWarn, "caller.refused",
		"A caller exceeded a limit of connections or header sections, or its connection was closed to make room; status 0 means closed without an answer. At most 10 a minute.",
		"service", "caller", "reason", "status", "left_out")
)
