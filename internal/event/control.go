package event

import "log/slog"

// Events of the control group and of the configuration (3000-3999).
var (
	ConfigInForce = define(3001, slog.LevelInfo, "config.in_force",
		"A configuration came into force at this instance.", "revision", "change", "operator")
	ConfigUnreadable = define(3002, slog.LevelError, "config.unreadable",
		"An accepted configuration cannot be read by this version of the program.", "revision", "error")
	ControlLeaderChanged = define(3050, slog.LevelInfo, "control.leader_changed",
		"This instance learned of another leader of the control group; an empty name means that no leader is known.", "leader")
	ControlUnconfirmed = define(3051, slog.LevelWarn, "control.unconfirmed",
		"The control group did not confirm this instance's configuration in time; the instance accepts no new requests.")
	ControlConfirmed = define(3052, slog.LevelInfo, "control.confirmed",
		"The control group confirmed this instance's configuration.")
	ControlUnanswered = define(3053, slog.LevelWarn, "control.unanswered",
		"The control group did not answer a command in time; the command may have been applied.", "command", "error")
	LeasesNotReleased = define(3054, slog.LevelWarn, "control.leases_not_released",
		"The leases of this instance could not be released; other instances can acquire them once they expire.", "error")
	ControlOpened = define(3010, slog.LevelInfo, "control.opened",
		"The voter opened its data folder.", "folder", "incarnation", "boot", "term", "last_index", "snapshot_index", "took")
	ControlLeads = define(3011, slog.LevelInfo, "control.leads",
		"This voter became the leader of the control group.", "term", "last_index")
	ControlFollows = define(3012, slog.LevelInfo, "control.follows",
		"This voter follows another leader; an empty name means that it knows none.", "term", "leader")
	ControlMembers = define(3013, slog.LevelInfo, "control.members",
		"The members of the control group changed.", "index", "voters", "learners")
	ControlFailed = define(3014, slog.LevelError, "control.failed",
		"The voter cannot write its log durably and no longer takes part in the control group.", "error")
	ControlStale = define(3015, slog.LevelError, "control.stale",
		"The data folder was restored from an older copy; the voter empties it and rejoins as a learner.", "incarnation")
	ControlSnapshot = define(3016, slog.LevelInfo, "control.snapshot",
		"The voter replaced its log with a snapshot.", "index", "bytes", "took")
	ControlReopened = define(3018, slog.LevelInfo, "control.reopened",
		"A voter whose log had failed reopened its data folder and takes part in the control group again.", "folder", "last_index")
	ControlTooFewVoters = define(3019, slog.LevelError, "control.too_few_voters",
		"The control group has had fewer voters than the losses that it is to bear need; repeated every minute.", "voters", "needed", "learners")
	ControlEntryUnreadable = define(3017, slog.LevelError, "control.entry_unreadable",
		"A committed entry or snapshot cannot be read by this version of the program.", "index", "error")
)
