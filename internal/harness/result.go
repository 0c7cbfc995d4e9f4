package harness

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/model"
)

// TierResult holds the request counts and times of one tier.
type TierResult struct {
	Offered, Good, Shed, Refused int
	FirstTokens                  []time.Duration
	// Refusals holds the times until the first attempts were refused.
	Refusals []time.Duration
}

// Result is the outcome of one run. Requests with a deadline after the end of the run do not
// count as offered or good.
type Result struct {
	Policy, Workload string
	Seed             uint64
	Tiers            [model.TierCount]TierResult
	Teams            map[model.TeamID]*[model.TierCount]TierResult
	// Prefill counts all prompt tokens computed. WastedLate and WastedLost count those that were
	// wasted because the deadline passed or the engine was lost.
	Prefill, WastedLate, WastedLost float64
	// Arrivals counts the requests including retries, Messages what the dispatcher received
	// without ticks, and Decisions what it decided.
	Arrivals, Messages, Decisions int
	// FirstTokensBefore and FirstTokensAfter hold the top-tier first-token times of requests that
	// arrived in the 5 s before and after the loss of the dispatcher.
	FirstTokensBefore, FirstTokensAfter []time.Duration
}

func newResult(policy, workload string, seed uint64) *Result {
	return &Result{Policy: policy, Workload: workload, Seed: seed, Teams: make(map[model.TeamID]*[model.TierCount]TierResult)}
}

// counted reports whether the deadline of a job is within the run.
func (r *run) counted(j *job) bool {
	return !j.desc.Deadline.After(r.start.Add(r.scenario.Length))
}

// teamResult returns the result of the team and tier of a job.
func (s *Result) teamResult(j *job) *TierResult {
	t := s.Teams[j.desc.Team]
	if t == nil {
		t = &[model.TierCount]TierResult{}
		s.Teams[j.desc.Team] = t
	}
	return &t[j.desc.Tier]
}

// addOffered counts a new request.
func (s *Result) addOffered(r *run, j *job) {
	if r.counted(j) {
		s.Tiers[j.desc.Tier].Offered++
		s.teamResult(j).Offered++
	}
}

// addFirstToken records the time from the first attempt to the first token.
func (s *Result) addFirstToken(r *run, j *job) {
	took := r.clock.now.Sub(j.firstArrival)
	t := &s.Tiers[j.desc.Tier]
	t.FirstTokens = append(t.FirstTokens, took)
	s.teamResult(j).FirstTokens = append(s.teamResult(j).FirstTokens, took)
	if r.scenario.DispatcherLostAt == 0 || j.desc.Tier != model.Urgent {
		return
	}
	lostAt := r.start.Add(r.scenario.DispatcherLostAt)
	switch since := j.firstArrival.Sub(lostAt); {
	case since >= -5*time.Second && since < 0:
		s.FirstTokensBefore = append(s.FirstTokensBefore, took)
	case since >= 0 && since < 5*time.Second:
		s.FirstTokensAfter = append(s.FirstTokensAfter, took)
	}
}

// addFinished counts an answer that was delivered in time.
func (s *Result) addFinished(r *run, j *job) {
	s.Prefill += j.prefillDone
	if r.counted(j) {
		s.Tiers[j.desc.Tier].Good++
		s.teamResult(j).Good++
	}
}

// addExpired counts the prompt tokens of a job as wasted because its deadline passed.
func (s *Result) addExpired(_ *run, j *job) {
	s.Prefill += j.prefillDone
	s.WastedLate += j.prefillDone
}

// addLost counts the prompt tokens of a job as wasted because its engine was lost.
func (s *Result) addLost(j *job) {
	s.Prefill += j.prefillDone
	s.WastedLost += j.prefillDone
}

// addRefused counts a refused attempt and, for a first attempt, the time until its refusal.
func (s *Result) addRefused(r *run, j *job, kind dispatch.Kind) {
	if t := &s.Tiers[j.desc.Tier]; j.retries == 0 {
		t.Refusals = append(t.Refusals, r.clock.now.Sub(j.firstArrival))
	}
	if kind == dispatch.Shed {
		s.Tiers[j.desc.Tier].Shed++
	} else {
		s.Tiers[j.desc.Tier].Refused++
	}
}

// Wasted returns the prompt tokens computed for answers that were not delivered in time.
func (s *Result) Wasted() float64 { return s.WastedLate + s.WastedLost }

// Goodput returns the number of answers delivered in time over all tiers.
func (s *Result) Goodput() int {
	n := 0
	for i := range s.Tiers {
		n += s.Tiers[i].Good
	}
	return n
}

// Ratio returns the share of the offered requests that were answered in time.
func (t *TierResult) Ratio() float64 { return float64(t.Good) / float64(max(t.Offered, 1)) }

// Quantile returns a quantile of times, or zero if there are none.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// String returns one line for the whole run and one for each tier.
func (s *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-17s seed %d: good %d, prefill %.0f, wasted late %.2f%% lost %.2f%%\n", s.Workload, s.Policy, s.Seed,
		s.Goodput(), s.Prefill, 100*s.WastedLate/max(s.Prefill, 1), 100*s.WastedLost/max(s.Prefill, 1))
	for i := range s.Tiers {
		t := &s.Tiers[i]
		fmt.Fprintf(&b, "  %-11s goodput %d/%d %.2f%% ttft p50 %s p95 %s shed %d refused %d, p50 after %s\n", model.Tier(i), t.Good, t.Offered,
			100*t.Ratio(), Quantile(t.FirstTokens, 0.5).Round(time.Millisecond),
			Quantile(t.FirstTokens, 0.95).Round(time.Millisecond), t.Shed, t.Refused,
			Quantile(t.Refusals, 0.5).Round(time.Millisecond))
	}
	return b.String()
}
