package metric

// Metrics of requests.
var (
	RequestsAccepted = define(KindCounter, "requests_accepted", "requests", "tier", "Requests received from callers by this instance, by the requested tier (default if none).")
	RequestsAnswered = define(KindCounter, "requests_answered", "requests", "tier", "Requests answered completely.")
	RequestsGood     = define(KindCounter, "requests_good", "requests", "tier", "Requests answered completely within their deadline (goodput).")
	RequestsRefused  = define(KindCounter, "requests_refused", "requests", "code", "Requests refused, by problem type.")
	FirstToken       = define(KindHistogram, "first_token", "microseconds", "tier", "Time from acceptance to the first token.")
	WaitingRequests  = define(KindGauge, "requests_waiting", "requests", "tier", "Requests waiting at this instance.")
	WastedPrefill    = define(KindCounter, "wasted_prefill_tokens", "tokens", "cause", "Prompt tokens computed for requests that failed or were cancelled, by the cause.")
)
