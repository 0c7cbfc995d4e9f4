package event

import "log/slog"

// Events of the control group and of the configuration (3000-3999).
var (
	ConfigInForce = define(3001, slog.LevelInfo, "config.in_force",
		"A configuration came into force at this instance.", "revision", "change", "operator")
	ConfigUnreadable = define(3002, slog.LevelError, "config.unreadable",
		"An accepted configuration cannot be read by this version of the program.", "revision", "error")
)
