package placement

var outcomes = [...]string{"accepted", "refused", "refused_fence", "not_sent", "unknown"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomes[min(o, Unknown)] }
