package harness_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"briaryard/internal/decide/fleet"
	"briaryard/internal/harness"
	"briaryard/internal/model"
)

var seeds = flag.Int("seeds", 20, "number of seeds, from 1")

var overload = harness.Scenario{
	Load: 2, Length: 140 * time.Second, Slow: 20 * time.Second, Lost: 35 * time.Second, Kill: 52 * time.Second,
}

// eachSeed runs a check for both workloads and every seed.
func eachSeed(t *testing.T, check func(t *testing.T, w harness.Workload, seed uint64)) {
	for _, w := range []harness.Workload{harness.WorkloadA(), harness.WorkloadB()} {
		for seed := range *seeds {
			t.Run(fmt.Sprintf("%s/seed=%d", w.Name, seed+1), func(t *testing.T) {
				t.Parallel()
				check(t, w, uint64(seed+1))
			})
		}
	}
}

// Guards against overload, a slow engine, a lost engine and a new dispatcher costing the
// top tier its goodput, the fleet its goodput, or prompt work thrown away.
func TestOverload(t *testing.T) {
	eachSeed(t, func(t *testing.T, w harness.Workload, seed uint64) {
		own := harness.Run("briaryard", fleet.NewGradient, w, overload, seed)
		t.Log(own)
		best, least := 0, 0.0
		for i, name := range harness.Policies[1:] {
			b := harness.Run(name, nil, w, overload, seed)
			t.Log(b)
			best = max(best, b.Goodput())
			if i == 0 || b.Wasted() < least {
				least = b.Wasted()
			}
		}
		if got := own.Tiers[model.Urgent].Ratio(); got < 0.99 {
			t.Errorf("top-tier goodput %.2f%%, want at least 99%%", 100*got)
		}
		if own.Goodput() < best {
			t.Errorf("goodput %d, best baseline %d", own.Goodput(), best)
		}
		if own.Wasted() > least/3 {
			t.Errorf("wasted prefill %.0f, best baseline %.0f", own.Wasted(), least)
		}
		if w.Name == "B" && own.Wasted() > 0.02*own.Prefill {
			t.Errorf("wasted prefill %.2f%%, want at most 2%%", 100*own.Wasted()/own.Prefill)
		}
		before, after := harness.Quantile(own.Before, 0.99), harness.Quantile(own.After, 0.99)
		if after > before+time.Second {
			t.Errorf("p99 first token %s in the 5 s after the loss of the dispatcher, %s before", after, before)
		}
	})
}

// Compares the control laws; prints only.
func TestCompareLaws(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a comparison; run with -v")
	}
	laws := map[string]fleet.NewLaw{"gradient": fleet.NewGradient, "aimd": fleet.NewAIMD, "fixed": fleet.NewFixed}
	for name, law := range laws {
		for _, w := range []harness.Workload{harness.WorkloadA(), harness.WorkloadB()} {
			good, top, wasted, prefill := 0, 1.0, 0.0, 0.0
			var pause time.Duration
			for seed := range *seeds {
				r := harness.Run("briaryard", law, w, overload, uint64(seed+1))
				good += r.Goodput()
				top = min(top, r.Tiers[model.Urgent].Ratio())
				pause = max(pause, harness.Quantile(r.After, 0.99)-harness.Quantile(r.Before, 0.99))
				wasted += r.Wasted()
				prefill += r.Prefill
			}
			t.Logf("%s %-8s good %d, worst top tier %.2f%%, wasted %.2f%%, worst pause %s",
				w.Name, name, good, 100*top, 100*wasted/prefill, pause.Round(time.Millisecond))
		}
	}
}
