package event

import "log/slog"

// Events of the control group and of the configuration (3000-3999).
var (
	ConfigInForce = define(3001, slog.LevelInfo, "config.in_force",
		"A configuration came into force at this instance.", "revision", "change", "operator")
	ConfigUnreadable = define(3002, slog.LevelError, "config.unreadable",
		"An accepted configuration cannot be read by this version of the program.", "revision", "error")
	RolloutStarted = define(3104, slog.LevelInfo, "rollout.started",
		"The leader began to judge a roll-out: a new one, or one that an earlier leader began. Requests and reserved are those counted before.",
		"service", "target", "number", "duration", "elapsed", "requests", "reserved")
	RolloutShare = define(3105, slog.LevelInfo, "rollout.share",
		"The share of the requests that the target of a roll-out gets changed.",
		"service", "target", "share", "reason", "requests", "granted", "allowed", "answers", "bad", "old_answers", "old_bad")
	RolloutTrusted = define(3106, slog.LevelInfo, "rollout.trusted",
		"The target of a roll-out gets all requests from now on.", "service", "target", "reason", "requests", "granted", "answers", "bad")
	RolloutCompleted = define(3107, slog.LevelInfo, "rollout.completed",
		"A roll-out is completed: nothing runs or can be granted on the old version.", "service", "target", "elapsed", "requests", "granted")
	RolloutRolledBack = define(3108, slog.LevelWarn, "rollout.rolled_back",
		"A roll-out was rolled back: its target gets no request any more.", "service", "target", "reason", "elapsed", "requests", "granted", "answers", "bad")
	RolloutNotStored = define(3109, slog.LevelWarn, "rollout.not_stored",
		"A change of a roll-out could not be stored in the control group; it is proposed again.", "service", "target", "error")
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
	ControlReplyForeign = define(3055, slog.LevelWarn, "control.reply_foreign",
		"A member of the control group answered a command that this process has not sent, probably one of an earlier process of "+
			"this instance; the answer is ignored.", "from", "command_id")
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
