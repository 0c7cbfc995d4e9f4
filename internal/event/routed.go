package event

import "log/slog"

// Events of routed requests (1100-1199), of the fleet's dispatcher (2100-2199), of routes
// (3100-3199) and of the instances and backend servers (4100-4199).
var (
	RoutedRefused = define(1101, slog.LevelInfo, "routed.refused",
		"An instance refused a request; run_state says whether it ran, revision and age are those of the configuration used.",
		"request", "attempt", "code", "run_state", "detail", "revision", "age")
	RoutedSent = define(1102, slog.LevelInfo, "routed.sent",
		"An instance sends a request to a backend server; alone is true if it chose the server without the dispatcher, parts are the parts of the prompt that other requests may share.",
		"request", "attempt", "send", "backend_server", "address", "sequence", "waited", "left", "alone", "revision", "parts")
	RoutedAgain = define(1103, slog.LevelWarn, "routed.again",
		"A call returned no answer and the request is retried at another backend server.",
		"request", "attempt", "backend_server", "outcome", "cause")
	RoutedEnded = define(1104, slog.LevelInfo, "routed.ended",
		"A request received its final answer. objective is the time within which its route's answers start on time, domain the failure domain of this instance, and fingerprint the same for all attempts of a caller at one request.",
		"request", "attempt", "route", "team", "backend_server", "sends", "result", "first", "took", "prompt", "output", "expected", "events", "objective", "domain", "fingerprint")
	RoutedCut = define(1105, slog.LevelWarn, "routed.cut",
		"An answer was aborted before it was complete.", "request", "attempt", "code", "detail")
	RoutedReturned = define(1107, slog.LevelInfo, "routed.returned",
		"An instance returned a grant unsent, because the backend server has said in an answer that it leaves or wants no request for a while.",
		"request", "attempt", "backend_server", "leaving", "hold")
	ServerSaid = define(1108, slog.LevelInfo, "server.said",
		"A backend server said in an answer to this instance that it leaves, for how long it wants no request from this instance, how many requests a second it takes from all instances (limit, 0 if it said nothing of that), or that this limit has ended.",
		"backend_server", "incarnation", "leaving", "hold", "limit", "limit_ended")
	ServerHoldInvalid = define(1109, slog.LevelWarn, "server.hold_invalid",
		"The time for which a backend server wants no request could not be read or is out of range; hold is used instead; at most 10 a minute.",
		"backend_server", "text", "hold", "left_out")
	ServerLimitInvalid = define(1113, slog.LevelWarn, "server.limit_invalid",
		"The number of requests a second that a backend server takes could not be read and changes nothing; at most 10 a minute.",
		"backend_server", "text", "left_out")
	CallLost = define(1110, slog.LevelWarn, "call.lost",
		"A call with shared prompt parts was lost before the first event of its answer. server is what a new connection showed: ended (it is refused), open, or unreachable.",
		"request", "backend_server", "incarnation", "after", "server", "parts", "cause")
	PartsCrashed = define(1111, slog.LevelWarn, "parts.crashed",
		"A backend server crashed while a request of this instance with these prompt parts had no event yet.",
		"backend_server", "incarnation", "parts")
	PartEvidence = define(1112, slog.LevelWarn, "part.evidence",
		"The evidence against a prompt part changed: crashes is the number of servers that crashed since it was last cleared, level the number of its quarantines, remaining the rest of the present one. from is the instance that sent the evidence, or empty.",
		"part", "generation", "crashes", "level", "remaining", "from")
	BodyRefused = define(1114, slog.LevelInfo, "body.refused",
		"An instance refused a request before it read its body, because the memory for bodies has no room for it: the bytes asked for and held, those reserved for all bodies, the budget, and whether the request has the most urgent rank.",
		"attempt", "bytes", "held", "used", "budget", "urgent", "retry_after")
	AnswerUnread = define(1115, slog.LevelWarn, "answer.unread",
		"The connection of a caller ended before its whole answer was written, while the instance was being stopped; parts are those that were not written yet.",
		"request", "attempt", "parts")
	ScheduleAppointment = define(1123, slog.LevelInfo, "schedule.appointment",
		"The dispatcher, or an instance that schedules without it, booked the time at which the caller of a denied request finds a place; work is the time booked on a slot.",
		"request", "fingerprint", "after", "work")
	ScheduleReturned = define(1124, slog.LevelInfo, "schedule.returned",
		"A request whose caller kept its appointment was granted a backend server or denied.", "request", "denied", "waited")
	HedgeSent = define(1120, slog.LevelInfo, "hedge.sent",
		"An instance sends the second call of a request whose first call is slow; after is the time since the first call, domain the failure domain of the server, and alone is true if the instance chose the server without the dispatcher.",
		"request", "attempt", "send", "backend_server", "domain", "after", "alone")
	HedgeEnded = define(1121, slog.LevelInfo, "hedge.ended",
		"The second call of a request has won, so that the caller gets its answer, or has lost; ran is the time since it was sent.",
		"request", "attempt", "backend_server", "result", "ran")
	HedgeDenied = define(1122, slog.LevelInfo, "hedge.denied",
		"A request whose first call, to this backend server, is slow gets no second one, and why; ran is the time since the first call.",
		"request", "attempt", "backend_server", "reason", "ran")
	LogDropped = define(1106, slog.LevelWarn, "log.dropped",
		"Log lines were dropped because they could not be written as fast as they were produced.", "lines")
	ScheduleGranted = define(2101, slog.LevelInfo, "schedule.granted",
		"The dispatcher, or an instance that schedules without it, granted a backend server; the fields are the inputs of the decision, the age of the server's last progress, the limit in requests a second that the server has named, or 0, and the free slots that the request left for more urgent ranks.",
		"request", "backend_server", "sequence", "waited", "waiting", "running", "pending", "estimate", "age", "limit", "reserved")
	ScheduleDenied = define(2102, slog.LevelInfo, "schedule.denied",
		"The dispatcher, or an instance that schedules without it, denied a request.", "request", "reason", "retry_after", "waited", "waiting", "running", "allotment_level", "allotment_rate", "limited_servers")
	ScheduleLimit = define(2105, slog.LevelInfo, "schedule.limit",
		"The dispatcher was told of a changed limit of a backend server, in requests a second from all instances; 0 if it has ended.",
		"backend_server", "incarnation", "limit", "instance")
	ScheduleJoined = define(2103, slog.LevelInfo, "schedule.joined",
		"An instance joined this dispatcher and sends its requests to it.", "instance", "session")
	AllocateFollows = define(2104, slog.LevelInfo, "allocate.follows",
		"This instance changed the dispatcher that it uses; an empty name means that it schedules without one.", "dispatcher", "reason")
	RoutesInForce = define(3101, slog.LevelInfo, "routes.in_force",
		"A configuration of routes came into force at this instance.", "revision", "routes", "services", "teams")
	RoutesProposed = define(3102, slog.LevelInfo, "routes.proposed",
		"An operator's configuration of routes was accepted, was not newer than the accepted one, or got no answer.",
		"revision", "accepted", "error", "took")
	RoutesInvalid = define(3103, slog.LevelWarn, "routes.invalid",
		"An operator's configuration of routes was refused as invalid.", "error")
	PresenceChanged = define(4101, slog.LevelInfo, "presence.changed",
		"This instance started or stopped accepting requests; age is that of its configuration.", "ready", "reason", "revision", "age")
	RosterChanged = define(4102, slog.LevelInfo, "roster.changed",
		"A core instance sent changes of its list of the instances that accept requests; changed and removed are those of the longest difference, receivers counts the instances that were sent one.",
		"version", "instances", "changed", "removed", "receivers")
	RoutedServer = define(4103, slog.LevelInfo, "routed_server.changed",
		"The record of a backend server changed.", "backend_server", "incarnation", "sequence", "state", "address", "services", "reason")
	CoreChanged = define(4104, slog.LevelInfo, "core.changed",
		"The list of the core instances changed.", "instances", "source")
	ContactsUnreadable = define(4105, slog.LevelWarn, "core.contacts_unreadable",
		"The settings that name the core instances cannot be read; the known instances stay in use.", "error")
	PeerMessageLost = define(4106, slog.LevelWarn, "peer.message_lost",
		"A message to another instance could not be queued.", "instance", "service", "error")
	AnnouncementRefused = define(4107, slog.LevelWarn, "announcement.refused",
		"An announcement of a backend server was invalid and changed nothing; at most 10 a minute.", "backend_server", "error", "left_out")
	RecordsReceived = define(4109, slog.LevelInfo, "records.received",
		"This instance received records of backend servers from a core instance, which logs each change.", "instance", "records", "changed")
	RecordSources = define(4110, slog.LevelInfo, "records.sources",
		"The core instances that send this instance the records of backend servers changed.", "instances")
	RecordRefused = define(4108, slog.LevelWarn, "record.refused",
		"A record of a backend server from another instance was invalid and changed nothing; at most 10 a minute.", "instance", "backend_server", "error", "left_out")
)
