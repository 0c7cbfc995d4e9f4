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
		"The connection to another instance ended; a new one is tried.", "instance", "incarnation", "reason")
	PeerRefused = define(4012, slog.LevelWarn, "peer.refused",
		"A connection between instances was refused.", "address", "reason")
	PeerMessageInvalid = define(4013, slog.LevelError, "peer.message_invalid",
		"A message from another instance could not be decoded and was dropped.", "instance", "service", "reason")
	InstanceState = define(4014, slog.LevelInfo, "instance.state",
		"The state of an instance changed in the view of this one.", "instance", "incarnation", "state", "reason")
	ServerAdopted = define(4015, slog.LevelInfo, "server.adopted",
		"A backend server sends its heartbeats to this instance from now on.", "backend_server", "incarnation", "previous_home")
	ExpiryHeld = define(4016, slog.LevelWarn, "member.expiry_held",
		"Nothing expires for a while because this instance itself was paused or cut off.", "reason")
	IncarnationRaised = define(4017, slog.LevelWarn, "instance.incarnation_raised",
		"The fleet knew a higher incarnation of this instance, so it took one above it.", "instance", "incarnation")
	PeerHandshakeFailed = define(4019, slog.LevelWarn, "peer.handshake_failed",
		"The TLS handshake of a connection to the peer address failed; at most 10 a minute.",
		"address", "error", "left_out")
	IncarnationUsed = define(4018, slog.LevelError, "instance.incarnation_used",
		"The fleet knows a later run of this instance; this process must be restarted or renamed.", "instance", "known")
)
