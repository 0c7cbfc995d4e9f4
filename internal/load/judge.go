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

// judge collects the outcomes of a run.
type judge struct {
	mu     sync.Mutex
	tiers  map[string]*tierCount
	broken map[string]int
	counts Counts
	codes  map[string]int
	// notRun holds the keys and request ids that were answered not_run at the end, and
	// whole the keys that were answered whole.
	notRun map[string]bool
	whole  map[string]bool
	// examples describes the first broken promises.
	examples []Example
}

type tierCount struct {
	offered, good, late, refused int
	first, total                 *hdrhistogram.Histogram
}

const (
	// maxLatencyMicros bounds the histograms at ten minutes.
	maxLatencyMicros = 600_000_000
	significantDigit = 3
	// maxExamples bounds the broken promises that a report describes.
	maxExamples = 20
)

func newJudge() *judge {
	return &judge{
		tiers: make(map[string]*tierCount), broken: make(map[string]int), codes: make(map[string]int),
		notRun: make(map[string]bool), whole: make(map[string]bool),
	}
}

func (j *judge) tier(name string) *tierCount {
	t := j.tiers[name]
	if t == nil {
		t = &tierCount{
			first: hdrhistogram.New(1, maxLatencyMicros, significantDigit),
			total: hdrhistogram.New(1, maxLatencyMicros, significantDigit),
		}
		j.tiers[name] = t
	}
	return t
}

func (j *judge) notSent(a *arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tier(a.class.Tier).offered++
	j.counts.NotSent++
}

// example keeps the description of a broken promise.
func (j *judge) example(promise, id, detail string) {
	if len(j.examples) < maxExamples {
		j.examples = append(j.examples, Example{Promise: promise, ID: id, Detail: detail})
	}
}

// attempt records one attempt.
func (j *judge) attempt(arrived *arrival, a attempt, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Attempts++
	if n > 0 {
		j.counts.Retries++
	}
	j.record(arrived, a)
}

// extra records an attempt of an impatient caller beside its main one.
func (j *judge) extra(a *arrival, e attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Attempts++
	j.counts.Extra++
	j.record(a, e)
	if e.outcome == whole {
		j.whole[a.key] = true
	}
}

func (j *judge) record(arrived *arrival, a attempt) {
	describe := func() string { return fmt.Sprintf("%s %s at %s", arrived.class.Name, arrived.key, a.address) }
	switch a.outcome {
	case cut:
		j.counts.Cut++
		j.example("cut", a.request, describe())
	case mixed:
		j.counts.Mixed++
		j.example("mixed", a.request, describe())
	case broken:
		j.counts.Broken++
		j.broken[a.address]++
	case refused:
		j.codes[a.problem.Type]++
		if a.problem.RunState == "not_run" {
			// An attempt that was answered not_run must not have run itself.
			j.notRun[a.request] = true
		}
	case whole:
	}
}

// final records how a request ended for its caller.
func (j *judge) final(a *arrival, last attempt, took time.Duration, history []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.tier(a.class.Tier)
	t.offered++
	switch last.outcome {
	case whole:
		j.whole[a.key] = true
		_ = t.total.RecordValue(took.Microseconds())
		_ = t.first.RecordValue((took - last.total + last.first).Microseconds())
		if took <= a.class.Deadline {
			t.good++
		} else {
			t.late++
		}
	case refused:
		t.refused++
		if a.key != "" && last.problem.RunState == "not_run" && !a.class.Impatient {
			j.notRun[a.key] = true
		}
	case broken:
		j.counts.Lost++
		j.example("lost", last.request, fmt.Sprintf("%s %s after %s: %s", a.class.Name, a.key, took.Round(time.Millisecond), strings.Join(history, ", ")))
	case cut, mixed:
	}
}

// execution is what the stand-ins report.
type execution struct {
	Executed map[string]int `json:"executed"`
	// AfterLeaving is the number of requests admitted more than 3 s after the server
	// announced that it leaves.
	AfterLeaving int `json:"admitted_after_leaving"`
}

// executions asks the stand-ins what they ran and adds it up.
func (r *runner) executions(ctx context.Context) (execution, error) {
	sum := execution{Executed: make(map[string]int)}
	for _, address := range r.options.Executions {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/executions", nil)
		if err != nil {
			return sum, err
		}
		response, err := r.standins.Do(request)
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
		sum.AfterLeaving += e.AfterLeaving
	}
	return sum, nil
}

// report compares what callers were told with what was executed.
func (j *judge) report(o Options, e execution) *Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	rep := &Report{Mix: o.Mix.Name, Seed: o.Seed, Rate: o.Rate, Seconds: o.Duration.Seconds(), Counts: j.counts, Refusals: j.codes, BrokenAt: j.broken}
	for name, n := range e.Executed {
		if n > 1 {
			rep.Counts.Doubled++
			j.example("doubled", name, fmt.Sprintf("executed %d times", n))
		}
		if n > 0 && j.notRun[name] {
			rep.Counts.FalseNotRun++
			j.example("false not_run", name, fmt.Sprintf("executed %d times", n))
		}
	}
	if len(o.Executions) > 0 {
		for key := range j.whole {
			if key != "" && e.Executed[key] == 0 {
				rep.Counts.NotExecuted++
				j.example("not executed", key, "answered whole")
			}
		}
	}
	rep.Counts.AfterLeaving = e.AfterLeaving
	rep.Examples = j.examples
	for name, t := range j.tiers {
		rep.Tiers = append(rep.Tiers, t.summary(name))
	}
	slices.SortFunc(rep.Tiers, func(a, b TierReport) int { return tierOrder[a.Tier] - tierOrder[b.Tier] })
	return rep
}
