package event

import "log/slog"

// Events of membership and connections (4000-4999).
var (
	ServerAnnounced = define(4001, slog.LevelInfo, "server.announced",
		"A backend server announced itself.", "backend_server", "incarnation", "address", "failure_domain", "pools")
	ServerState = define(4002, slog.LevelInfo, "server.state",
		"The state of a backend server changed.", "backend_server", "incarnation", "state", "reason")
	PeerUp = define(4010, slog.LevelInfo, "peer.up",
		"A connection to another instance was opened.", "instance", "incarnation", "address", "dialed")
	PeerDown = define(4011, slog.LevelWarn, "peer.down",
		"The connection to another instance ended; reconnecting is attempted.", "instance", "incarnation", "reason")
	PeerRefused = define(4012, slog.LevelWarn, "peer.refused",
		"A connection between instances was refused.", "address", "reason")
	PeerMessageInvalid = define(4013, slog.LevelError, "peer.message_invalid",
		"A message from another instance could not be decoded and was dropped.", "instance", "service", "reason")
	InstanceState = define(4014, slog.LevelInfo, "instance.state",
		"The state of an instance changed in the view of this one.", "instance", "incarnation", "state", "reason")
	ServerAdopted = define(4015, slog.LevelInfo, "server.adopted",
		"A backend server now sends its heartbeats to this instance.", "backend_server", "incarnation", "previous_home")
	ExpiryHeld = define(4016, slog.LevelWarn, "member.expiry_held",
		"The expiry of members is suspended because this instance itself was paused or disconnected.", "reason")
	IncarnationRaised = define(4017, slog.LevelWarn, "instance.incarnation_raised",
		"The fleet knew a higher incarnation of this instance, so the instance raised its own above it.", "instance", "incarnation")
	PeerHandshakeFailed = define(4019, slog.LevelWarn, "peer.handshake_failed",
		"The TLS handshake of a connection to the peer address failed; at most 10 a minute.",
		"address", "error", "left_out")
	IncarnationUsed = define(4018, slog.LevelError, "instance.incarnation_used",
		"The fleet knows a later incarnation of this instance; this process must be restarted or given another name.", "instance", "known")
)
