package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"briaryard/internal/fault"
)

// checker collects the outcomes of a run and compares them with what the stand-ins executed.
type checker struct {
	mu       sync.Mutex
	tiers    map[string]*tierStats
	brokenAt map[string]int
	counts   Counts
	refusals map[string]int
	// notRun holds the ids of attempts that were refused with not_run and, except for callers
	// that resend while a request is open, the keys of requests whose last attempt was. completed
	// holds the keys with a complete answer.
	notRun    map[string]bool
	completed map[string]bool
	// examples describes the first violated guarantees, maxExamples at most.
	examples []Violation
}

// tierStats counts the requests of one tier by their result: good are complete answers within the
// deadline, late are complete answers after it. Latencies are in microseconds.
type tierStats struct {
	offered, good, late, refused int
	firstToken, total            *hdrhistogram.Histogram
}

const (
	// maxLatencyMicros bounds the histograms at ten minutes.
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
	// maxExamples bounds the violated guarantees that a report describes.
	maxExamples = 20
)

func newChecker() *checker {
	return &checker{
		tiers: make(map[string]*tierStats), brokenAt: make(map[string]int), refusals: make(map[string]int),
		notRun: make(map[string]bool), completed: make(map[string]bool),
	}
}

// tierStats returns the counts of a tier, which it creates on first use.
func (c *checker) tierStats(name string) *tierStats {
	t := c.tiers[name]
	if t == nil {
		t = &tierStats{
			firstToken: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
			total:      hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		}
		c.tiers[name] = t
	}
	return t
}

// recordNotSent counts a request that was dropped because too many were in flight.
func (c *checker) recordNotSent(a *arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tierStats(a.class.Tier).offered++
	c.counts.NotSent++
}

// addExample records a violated guarantee for the report.
func (c *checker) addExample(promise, id, detail string) {
	if len(c.examples) < maxExamples {
		c.examples = append(c.examples, Violation{Guarantee: promise, ID: id, Detail: detail})
	}
}

// recordAttempt records attempt n of a request; n greater than zero is a retry.
func (c *checker) recordAttempt(arrived *arrival, a attempt, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Attempts++
	if n > 0 {
		c.counts.Retries++
	}
	c.recordOutcome(arrived, a)
}

// recordExtra records an attempt that a caller sent while its main one was open.
func (c *checker) recordExtra(a *arrival, e attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Attempts++
	c.counts.Resends++
	c.recordOutcome(a, e)
	if e.outcome == complete {
		c.completed[a.key] = true
	}
}

// recordOutcome counts an attempt by its outcome. The caller holds c.mu.
func (c *checker) recordOutcome(arrived *arrival, a attempt) {
	describe := func() string { return fmt.Sprintf("%s %s at %s", arrived.class.Name, arrived.key, a.address) }
	switch a.outcome {
	case cut:
		c.counts.Truncated++
		c.addExample("cut", a.requestID, describe())
	case mixed:
		c.counts.Mixed++
		c.addExample("mixed", a.requestID, describe())
	case broken:
		c.counts.BrokenConnections++
		c.brokenAt[a.address]++
	case refused:
		c.refusals[a.problem.Type]++
		if a.problem.RunState == "not_run" {
			// The attempt itself must not run, even if another one of its request does.
			c.notRun[a.requestID] = true
		}
	case complete:
	}
}

// recordResult records the last attempt of a request, which decides its result for the caller.
func (c *checker) recordResult(a *arrival, last attempt, took time.Duration, history []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tierStats(a.class.Tier)
	t.offered++
	switch last.outcome {
	case complete:
		c.completed[a.key] = true
		_ = t.total.RecordValue(took.Microseconds())
		_ = t.firstToken.RecordValue((took - last.total + last.firstToken).Microseconds())
		if took <= a.class.Deadline {
			t.good++
		} else {
			t.late++
		}
	case refused:
		t.refused++
		if a.key != "" && last.problem.RunState == "not_run" && !a.class.ResendsWhileOpen {
			c.notRun[a.key] = true
		}
	case broken:
		c.counts.Lost++
		c.addExample("lost", last.requestID, fmt.Sprintf("%s %s after %s: %s", a.class.Name, a.key, took.Round(time.Millisecond), strings.Join(history, ", ")))
	case cut, mixed:
	}
}

// execution is the report of a stand-in, or the sum of several.
type execution struct {
	// Executed counts executions by idempotency key and by request id.
	Executed map[string]int `json:"executed"`
	// AdmittedAfterLeaving is the number of requests that the server admitted more than 3 s after it
	// had announced that it is leaving.
	AdmittedAfterLeaving int `json:"admitted_after_leaving"`
}

// executions returns the sum of the execution counts of all stand-ins.
func (r *runner) executions(ctx context.Context) (execution, error) {
	sum := execution{Executed: make(map[string]int)}
	for _, address := range r.options.StandinAddresses {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/executions", nil)
		if err != nil {
			return sum, err
		}
		response, err := r.standinClient.Do(request)
		if err != nil {
			return sum, &fault.StandinUnreachable{Address: address, Err: err}
		}
		var e execution
		err = json.NewDecoder(response.Body).Decode(&e)
		_ = response.Body.Close()
		if err != nil {
			return sum, &fault.StandinUnreachable{Address: address, Err: err}
		}
		for name, n := range e.Executed {
			sum.Executed[name] += n
		}
		sum.AdmittedAfterLeaving += e.AdmittedAfterLeaving
	}
	return sum, nil
}

// report compares the answers to callers with the executions and returns the result of the run.
func (c *checker) report(o Options, e execution) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	rep := &Report{Mix: o.Mix.Name, Seed: o.Seed, Rate: o.Rate, Seconds: o.Duration.Seconds(), Counts: c.counts, Refusals: c.refusals, BrokenConnectionsAt: c.brokenAt}
	for name, n := range e.Executed {
		if n > 1 {
			rep.Counts.DuplicateExecutions++
			c.addExample("doubled", name, fmt.Sprintf("executed %d times", n))
		}
		if n > 0 && c.notRun[name] {
			rep.Counts.FalseNotRun++
			c.addExample("false not_run", name, fmt.Sprintf("executed %d times", n))
		}
	}
	if len(o.StandinAddresses) > 0 {
		for key := range c.completed {
			if key != "" && e.Executed[key] == 0 {
				rep.Counts.NotExecuted++
				c.addExample("not executed", key, "answered whole")
			}
		}
	}
	rep.Counts.AdmittedAfterLeaving = e.AdmittedAfterLeaving
	rep.ViolationExamples = c.examples
	for name, t := range c.tiers {
		rep.Tiers = append(rep.Tiers, t.summary(name))
	}
	slices.SortFunc(rep.Tiers, func(a, b TierReport) int { return tierOrder[a.Tier] - tierOrder[b.Tier] })
	return rep
}
