package event

import "log/slog"

// Events of membership and connections (4000-4999).
var (
	ServerAnnounced = define(4001, slog.LevelInfo, "server.announced",
		"A backend server announced itself.", "backend_server", "incarnation", "address", "failure_domain", "pools")
	ServerState = define(4002, slog.LevelInfo, "server.state",
		"The state of a backend server changed.", "backend_server", "incarnation", "state", "reason")
)
