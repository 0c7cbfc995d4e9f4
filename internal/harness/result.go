package harness

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/model"
)

// TierResult is what one tier got.
type TierResult struct {
	Offered, Good, Shed, Refused int
	FirstTokens                  []time.Duration
	// Refusals are the times until the first attempts were refused.
	Refusals []time.Duration
}

// Result is the outcome of one run. Requests whose deadline lies after the end of the run
// are not counted.
type Result struct {
	Policy, Workload string
	Seed             uint64
	Tiers            [model.TierCount]TierResult
	Teams            map[model.TeamID]*[model.TierCount]TierResult
	// Prefill is all prompt tokens computed; the wasted ones are split by cause.
	Prefill, WastedLate, WastedLost float64
	// Arrivals counts the requests with their retries; Messages and Decisions count what the
	// dispatcher received, ticks aside, and decided.
	Arrivals, Messages, Decisions int
	// Before and After are top-tier first-token times around the loss of the dispatcher.
	Before, After []time.Duration
}

func newResult(policy, workload string, seed uint64) *Result {
	return &Result{Policy: policy, Workload: workload, Seed: seed, Teams: make(map[model.TeamID]*[model.TierCount]TierResult)}
}

func (r *run) counts(j *job) bool {
	return !j.desc.Deadline.After(r.start.Add(r.scenario.Length))
}

func (s *Result) team(j *job) *TierResult {
	t := s.Teams[j.desc.Team]
	if t == nil {
		t = &[model.TierCount]TierResult{}
		s.Teams[j.desc.Team] = t
	}
	return &t[j.desc.Tier]
}

func (s *Result) offer(r *run, j *job) {
	if r.counts(j) {
		s.Tiers[j.desc.Tier].Offered++
		s.team(j).Offered++
	}
}

func (s *Result) first(r *run, j *job) {
	took := r.clock.now.Sub(j.first)
	t := &s.Tiers[j.desc.Tier]
	t.FirstTokens = append(t.FirstTokens, took)
	s.team(j).FirstTokens = append(s.team(j).FirstTokens, took)
	if r.scenario.Kill == 0 || j.desc.Tier != model.Urgent {
		return
	}
	kill := r.start.Add(r.scenario.Kill)
	switch since := j.first.Sub(kill); {
	case since >= -5*time.Second && since < 0:
		s.Before = append(s.Before, took)
	case since >= 0 && since < 5*time.Second:
		s.After = append(s.After, took)
	}
}

func (s *Result) done(r *run, j *job) {
	s.Prefill += j.prefilled
	if r.counts(j) {
		s.Tiers[j.desc.Tier].Good++
		s.team(j).Good++
	}
}

func (s *Result) expire(_ *run, j *job) {
	s.Prefill += j.prefilled
	s.WastedLate += j.prefilled
}

func (s *Result) lose(j *job) {
	s.Prefill += j.prefilled
	s.WastedLost += j.prefilled
}

func (s *Result) refuse(r *run, j *job, kind dispatch.Kind) {
	if t := &s.Tiers[j.desc.Tier]; j.tries == 0 {
		t.Refusals = append(t.Refusals, r.clock.now.Sub(j.first))
	}
	if kind == dispatch.Shed {
		s.Tiers[j.desc.Tier].Shed++
	} else {
		s.Tiers[j.desc.Tier].Refused++
	}
}

// Wasted returns the prompt tokens computed for answers that were not delivered in time.
func (s *Result) Wasted() float64 { return s.WastedLate + s.WastedLost }

// Goodput returns the answers delivered in time over all tiers.
func (s *Result) Goodput() int {
	n := 0
	for i := range s.Tiers {
		n += s.Tiers[i].Good
	}
	return n
}

// Ratio returns the part of the offered requests that were answered in time.
func (t *TierResult) Ratio() float64 { return float64(t.Good) / float64(max(t.Offered, 1)) }

// Quantile returns a quantile of times, zero if there are none.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// String prints one line for each tier and one for prefill.
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
