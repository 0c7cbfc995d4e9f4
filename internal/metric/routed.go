package metric

// Metrics of routed requests.
var (
	ScheduleDecisions = define(KindCounter, "schedule_decisions", "requests", "decision", "Decisions of this instance as dispatcher: granted, or the reason for the denial.")
	RoutedRequests    = define(KindCounter, "routed_requests", "requests", "result", "Routed requests of this instance, by their result.")
	RoutedHedges      = define(KindCounter, "routed_hedges", "calls", "result", "Second calls of slow requests of this instance: sent, won, lost, or the reason why a slow request has none.")
	RoutedFirst       = define(KindHistogram, "routed_first", "microseconds", "kind", "Time from arrival to the answer or its first event, by the kind of route.")
	RoutedOpen        = define(KindGauge, "routed_open", "requests", "", "Routed requests of this instance that have no final answer yet.")
	BodyBytes         = define(KindGauge, "request_body_bytes", "bytes", "", "Bytes that are reserved for the bodies of callers' requests.")
	BodiesRefused     = define(KindCounter, "request_bodies_refused", "requests", "", "Requests refused before their body was read, because the memory for bodies had no room.")
	BackendDials      = define(KindCounter, "backend_dials", "connections", "outcome", "Attempts to open a connection to a backend server, by outcome.")
	AnswersMalformed  = define(KindCounter, "backend_answers_malformed", "answers", "", "Answers of backend servers that are no valid HTTP or do not belong to their request.")
	CallsLost         = define(KindCounter, "backend_calls_lost", "calls", "server", "Calls with shared prompt parts that were lost before the first event of their answer, by what a new connection to the server showed: ended, open or unreachable.")
	PartsQuarantined  = define(KindGauge, "prompt_parts_quarantined", "parts", "", "Prompt parts under quarantine, or probed after one.")
	RolloutChanges    = define(KindCounter, "rollout_changes", "changes", "change", "Changes of roll-outs at this instance as leader: started, trusted, completed or rolled_back.")
	RecordsRefused    = define(KindCounter, "server_records_refused", "records", "source", "Invalid records of backend servers: those of an announcement, or of another instance.")
	LogLinesDropped   = define(KindCounter, "log_lines_dropped", "lines", "", "Log lines dropped because they could not be written as fast as they were produced.")
)
