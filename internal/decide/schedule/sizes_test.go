package schedule_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

// Guards against long requests that are served less than half as often as the others, which
// shortest-first order leads to. The load is three times the capacity of the engines, with answers of
// very different lengths and callers' estimates that are off by a factor of two for one in ten.
func TestLargeRequestsAreServedUnderOverload(t *testing.T) {
	const (
		engines  = 12
		duration = 30 * time.Second
		step     = 5 * time.Millisecond
		perEvent = 25 * time.Millisecond
		overload = 3.0
	)
	r := rand.New(rand.NewPCG(1, 2))
	s := newFleet(engines, 0)
	type activeRequest struct {
		d    schedule.Decision
		ends time.Time
	}
	var active []activeRequest
	events := make(map[model.RequestID]float64)
	var sizes []float64
	served := make(map[model.RequestID]bool)
	size := func() float64 { return 20 * math.Exp(0.8*r.NormFloat64()) }
	// The mean of a log-normal size is 20·exp(0.32) events.
	rate := overload * engines * 2 / (20 * math.Exp(0.32) * perEvent.Seconds())
	seq := uint64(0)
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		active = slices.DeleteFunc(active, func(o activeRequest) bool {
			if o.ends.After(now) {
				return false
			}
			n := events[o.d.ID]
			s.Report(now, schedule.Report{ID: o.d.ID, Server: o.d.Server.ID, Outcome: schedule.Finished, First: 30 * time.Millisecond,
				Rest: time.Duration(n * float64(perEvent)), Events: int(n)})
			return true
		})
		for range int(rate*step.Seconds() + r.Float64()) {
			seq++
			w := want(seq, "llm", 2, now)
			n := size()
			w.Expected = max(int(4*n*math.Exp(0.55*r.NormFloat64())), 1)
			w.Output = 2000
			events[w.ID] = n
			sizes = append(sizes, n)
			s.Ask(now, w)
		}
		s.Tick(now)
		for _, d := range granted(s.Take()) {
			served[d.ID] = true
			s.Report(now, schedule.Report{ID: d.ID, Server: d.Server.ID, Outcome: schedule.Began, First: 30 * time.Millisecond})
			active = append(active, activeRequest{d, now.Add(30*time.Millisecond + time.Duration(events[d.ID]*float64(perEvent)))})
		}
	}
	slices.Sort(sizes)
	share := func(from, to float64) float64 {
		least, most := sizes[int(from*float64(len(sizes)-1))], sizes[int(to*float64(len(sizes)-1))]
		all, good := 0, 0
		for id, n := range events {
			if n >= least && n <= most {
				all++
				if served[id] {
					good++
				}
			}
		}
		return float64(good) / float64(all)
	}
	whole, fifth, tenth := share(0, 1), share(0.7, 0.9), share(0.9, 1)
	t.Logf("served: all %.3f, largest tenth %.3f, fifth below it %.3f", whole, tenth, fifth)
	if whole > 0.8 {
		t.Fatalf("%.3f of the requests were served: the engines are not overloaded", whole)
	}
	if tenth < whole/2 || fifth < whole/2 {
		t.Errorf("served: all %.3f, largest tenth %.3f, fifth below it %.3f; want at least half of all", whole, tenth, fifth)
	}
}
