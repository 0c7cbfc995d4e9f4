package placement

var outcomeNames = [...]string{"accepted", "refused", "refused_fence", "not_sent", "unknown"}

// String returns the name of the outcome as used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[min(o, Unknown)] }
