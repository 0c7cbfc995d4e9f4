package event

import "log/slog"

// Events of the control group and of the configuration (3000-3999).
var (
	ConfigInForce = define(3001, slog.LevelInfo, "config.in_force",
		"A configuration came into force at this instance.", "revision", "change", "operator")
	ConfigUnreadable = define(3002, slog.LevelError, "config.unreadable",
		"An accepted configuration cannot be read by this version of the program.", "revision", "error")
	ControlLeaderChanged = define(3050, slog.LevelInfo, "control.leader_changed",
		"This instance found another leader of the control group; an empty name means that it knows none.", "leader")
	ControlUnconfirmed = define(3051, slog.LevelWarn, "control.unconfirmed",
		"The control group has not confirmed this instance's configuration in time; the instance takes no new work.")
	ControlConfirmed = define(3052, slog.LevelInfo, "control.confirmed",
		"The control group confirmed this instance's configuration.")
	ControlUnanswered = define(3053, slog.LevelWarn, "control.unanswered",
		"The control group did not answer a command in time; the command may have been applied.", "command", "error")
	LeasesNotReleased = define(3054, slog.LevelWarn, "control.leases_not_released",
		"The leases of this instance could not be given up; they move when they expire.", "error")
)
