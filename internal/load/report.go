package load

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counts are the counters of a run. DuplicateExecutions, Lost, Truncated, Mixed, FalseNotRun,
// NotExecuted and AdmittedAfterLeaving must be zero.
type Counts struct {
	Attempts int `json:"attempts"`
	Retries  int `json:"retries"`
	// Resends counts attempts that callers of a class with ResendsWhileOpen sent while their main
	// one was open.
	Resends int `json:"extra"`
	// NotSent counts requests that were dropped because too many were in flight.
	NotSent int `json:"not_sent"`
	// BrokenConnections counts attempts whose connection failed. The caller retries after them, up
	// to a limit.
	BrokenConnections int `json:"broken"`
	// DuplicateExecutions counts keys and requests that were executed more than once.
	DuplicateExecutions int `json:"doubled"`
	// Lost counts requests that ended with neither an answer nor a refusal.
	Lost int `json:"lost"`
	// Truncated counts answers that ended normally although they were incomplete.
	Truncated int `json:"cut"`
	// Mixed counts answers with text that does not belong to their request.
	Mixed int `json:"mixed"`
	// FalseNotRun counts keys and requests that ran although the caller was answered not_run.
	FalseNotRun int `json:"false_not_run"`
	// NotExecuted counts keys with a complete answer that no stand-in executed.
	NotExecuted int `json:"not_executed"`
	// AdmittedAfterLeaving counts requests that a server admitted more than 3 s after it had
	// announced that it is leaving.
	AdmittedAfterLeaving int `json:"after_leaving"`
}

// TierReport holds the counts and latencies of one tier. Good counts complete answers within the
// deadline, Late complete answers after it. Latencies are in milliseconds.
type TierReport struct {
	Tier       string  `json:"tier"`
	Offered    int     `json:"offered"`
	Good       int     `json:"good"`
	Late       int     `json:"late"`
	Refused    int     `json:"refused"`
	FirstP50MS float64 `json:"first_token_p50_ms"`
	FirstP99MS float64 `json:"first_token_p99_ms"`
	TotalP50MS float64 `json:"total_p50_ms"`
	TotalP99MS float64 `json:"total_p99_ms"`
}

// Report holds the counts, latencies and violated guarantees of a run.
type Report struct {
	Mix                 string         `json:"mix"`
	Seed                uint64         `json:"seed"`
	Rate                float64        `json:"rate_per_second"`
	Seconds             float64        `json:"seconds"`
	Counts              Counts         `json:"counts"`
	Tiers               []TierReport   `json:"tiers"`
	Refusals            map[string]int `json:"refusals"`
	BrokenConnectionsAt map[string]int `json:"broken_at"`
	// ViolationExamples describes the first violated guarantees.
	ViolationExamples []Violation `json:"examples,omitempty"`
}

// Violation describes one violated guarantee. ID is the request id or the idempotency key, by
// which the logs of the instances can be searched.
type Violation struct {
	Guarantee string `json:"promise"`
	ID        string `json:"id"`
	Detail    string `json:"detail"`
}

// tierOrder is the order of the tiers in a report, most urgent first.
var tierOrder = map[string]int{"urgent": 0, "interactive": 1, "standard": 2, "batch": 3}

func (t *tierStats) summary(name string) TierReport {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return TierReport{
		Tier: name, Offered: t.offered, Good: t.good, Late: t.late, Refused: t.refused,
		FirstP50MS: ms(t.firstToken, 50), FirstP99MS: ms(t.firstToken, 99), TotalP50MS: ms(t.total, 50), TotalP99MS: ms(t.total, 99),
	}
}

// Violations lists the violated guarantees with their counts; it is empty if all were kept.
func (r *Report) Violations() []string {
	var out []string
	for name, n := range map[string]int{
		"executed more than once": r.Counts.DuplicateExecutions, "lost without an answer": r.Counts.Lost, "cut": r.Counts.Truncated,
		"mixed": r.Counts.Mixed, "ran although answered not_run": r.Counts.FalseNotRun,
		"answered and never executed": r.Counts.NotExecuted, "sent to a leaving server": r.Counts.AdmittedAfterLeaving,
	} {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, name))
		}
	}
	slices.Sort(out)
	return out
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	p("mix %s, seed %d, %.0f requests/s for %.0f s\n\n", r.Mix, r.Seed, r.Rate, r.Seconds)
	p("%-12s %8s %8s %6s %8s %10s %10s %10s %10s\n", "tier", "offered", "good", "late", "refused", "first p50", "first p99", "total p50", "total p99")
	for _, t := range r.Tiers {
		p("%-12s %8d %7.2f%% %6d %8d %7.0f ms %7.0f ms %7.0f ms %7.0f ms\n", t.Tier, t.Offered,
			100*float64(t.Good)/float64(max(t.Offered, 1)), t.Late, t.Refused, t.FirstP50MS, t.FirstP99MS, t.TotalP50MS, t.TotalP99MS)
	}
	c := r.Counts
	p("\nattempts %d (retries %d, impatient %d), broken connections %d, not sent %d\n", c.Attempts, c.Retries, c.Resends, c.BrokenConnections, c.NotSent)
	p("doubled %d, lost %d, cut %d, mixed %d, false not_run %d, not executed %d, sent to a leaving server %d\n",
		c.DuplicateExecutions, c.Lost, c.Truncated, c.Mixed, c.FalseNotRun, c.NotExecuted, c.AdmittedAfterLeaving)
	for _, e := range r.ViolationExamples {
		p("%s: %s %s\n", e.Guarantee, e.ID, e.Detail)
	}
	codes := make([]string, 0, len(r.Refusals))
	for code := range r.Refusals {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	for _, code := range codes {
		p("refused %s: %d\n", strings.TrimPrefix(code, "urn:briaryard:problem:"), r.Refusals[code])
	}
}
