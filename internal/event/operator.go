package event

import "log/slog"

// Events of operators (5000-5999).
var (
	OperatorApplied = define(5001, slog.LevelInfo, "operator.config_applied",
		"A configuration change was accepted through this instance.", "change", "operator", "revision", "number")
	OperatorRefused = define(5002, slog.LevelWarn, "operator.config_refused",
		"A configuration change was refused at this instance; code is the reason.", "change", "operator", "number", "code", "detail")
	OperatorDrain = define(5003, slog.LevelInfo, "operator.drain",
		"An operator requested a graceful stop of this instance.", "instance", "from")
	OperatorVoters = define(5004, slog.LevelInfo, "operator.voters_changed",
		"An operator requested a change of the voters; code is empty if it was accepted.", "voter", "remove", "code")
	RolloutOrdered = define(5006, slog.LevelInfo, "operator.rollout_ordered",
		"An operator's order of a roll-out was acknowledged through this instance; number is the same for a repeated order.", "service", "target", "duration", "number", "state")
	RolloutRefused = define(5007, slog.LevelWarn, "operator.rollout_refused",
		"An operator's order of a roll-out was refused at this instance.", "service", "target", "duration", "error")
	TrustNotReloaded = define(5005, slog.LevelError, "trust.not_reloaded",
		"Changed certificate or token files cannot be loaded; the values loaded before stay in use.", "files", "reason")
)
