package metric

// Metrics of routed requests.
var (
	ScheduleDecisions = define(KindCounter, "schedule_decisions", "requests", "decision", "Decisions of this instance as dispatcher: granted, or the reason of a denial.")
	RoutedRequests    = define(KindCounter, "routed_requests", "requests", "result", "Routed requests of this instance by how they ended.")
	RoutedFirst       = define(KindHistogram, "routed_first", "microseconds", "kind", "Time from arrival to the answer or its first event, by the kind of request.")
	RoutedOpen        = define(KindGauge, "routed_open", "requests", "", "Routed requests of this instance without a final answer.")
	BackendDials      = define(KindCounter, "backend_dials", "connections", "outcome", "New connections to backend servers.")
	LogLinesDropped   = define(KindCounter, "log_lines_dropped", "lines", "", "Lines that were left out of the log because it could not be written as fast as they came.")
)
