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
	Load: 2, Length: 140 * time.Second, SlowAt: 20 * time.Second, EngineLostAt: 35 * time.Second, DispatcherLostAt: 52 * time.Second,
}

// eachSeed runs a check as a subtest for both workloads and every seed.
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

// Guards against low top-tier goodput, less total goodput than the baselines, wasted prompt work
// and late first tokens, under overload with a slow engine, a lost engine and a new dispatcher.
func TestOverload(t *testing.T) {
	eachSeed(t, func(t *testing.T, w harness.Workload, seed uint64) {
		result := harness.Run("briaryard", fleet.NewGradientLimiter, w, overload, seed)
		t.Log(result)
		bestGoodput, leastWasted := 0, 0.0
		for i, name := range harness.Policies[1:] {
			b := harness.Run(name, nil, w, overload, seed)
			t.Log(b)
			bestGoodput = max(bestGoodput, b.Goodput())
			if i == 0 || b.Wasted() < leastWasted {
				leastWasted = b.Wasted()
			}
		}
		if got := result.Tiers[model.Urgent].Ratio(); got < 0.99 {
			t.Errorf("top-tier goodput %.2f%%, want at least 99%%", 100*got)
		}
		if result.Goodput() < bestGoodput {
			t.Errorf("goodput %d, best baseline %d", result.Goodput(), bestGoodput)
		}
		if result.Wasted() > leastWasted/3 {
			t.Errorf("wasted prefill %.0f, best baseline %.0f", result.Wasted(), leastWasted)
		}
		if w.Name == "B" && result.Wasted() > 0.02*result.Prefill {
			t.Errorf("wasted prefill %.2f%%, want at most 2%%", 100*result.Wasted()/result.Prefill)
		}
		before, after := harness.Quantile(result.FirstTokensBefore, 0.99), harness.Quantile(result.FirstTokensAfter, 0.99)
		if after > before+time.Second {
			t.Errorf("p99 first token %s in the 5 s after the loss of the dispatcher, %s before", after, before)
		}
	})
}

// Guards against one team that reduces the goodput of the others by sending 20 times its share,
// in all tiers or only in one that precedes the lower tiers of the others, and against its own
// interactive requests waiting behind the batch requests of the others past their deadline.
func TestLargeTeam(t *testing.T) {
	eachSeed(t, func(t *testing.T, w harness.Workload, seed uint64) {
		sc := harness.Scenario{Load: 0.9, Length: 120 * time.Second}
		withoutExtra := harness.Run("briaryard", fleet.NewGradientLimiter, w, sc, seed)
		// Only the last team, a tenth of the demand, sends more; the other arrivals are the same.
		sc.ExtraFactor = 20
		tiers := []model.Tier{model.Urgent}
		if w.Name == "A" {
			// The extra interactive work of B fits in its pool.
			tiers = append(tiers, model.Interactive)
		}
		for _, sc.ExtraTier = range tiers {
			withExtra := harness.Run("briaryard", fleet.NewGradientLimiter, w, sc, seed)
			othersWithout, othersWith := otherTeamsGoodput(withoutExtra, w), otherTeamsGoodput(withExtra, w)
			large := withExtra.Teams[model.TeamID(fmt.Sprint("t", len(w.Demand)-1))]
			t.Logf("extra tier %d: goodput of the other teams %.2f%% alone, %.2f%% beside the large one; interactive of the large one %.2f%%",
				sc.ExtraTier, 100*othersWithout, 100*othersWith, 100*large[model.Interactive].Ratio())
			if othersWith < 0.99*othersWithout {
				t.Errorf("extra tier %d: goodput of the other teams %.2f%%, want at least 99%% of %.2f%%", sc.ExtraTier, 100*othersWith, 100*othersWithout)
			}
			if got := large[model.Interactive].Ratio(); sc.ExtraTier == 0 && got < 0.95 {
				t.Errorf("interactive goodput of the large team %.2f%%, want at least 95%%", 100*got)
			}
		}
	})
}

// otherTeamsGoodput returns the goodput ratio of all teams but the last.
func otherTeamsGoodput(r *harness.Result, w harness.Workload) float64 {
	var sum harness.TierResult
	for i := range len(w.Demand) - 1 {
		if team := r.Teams[model.TeamID(fmt.Sprint("t", i))]; team != nil {
			for tier := range team {
				sum.Good += team[tier].Good
				sum.Offered += team[tier].Offered
			}
		}
	}
	return sum.Ratio()
}

// Guards against goodput, waste or cost per request that depend on the number of instances
// and servers.
func TestTenTimesTheSize(t *testing.T) {
	for _, w := range []harness.Workload{harness.WorkloadA(), harness.WorkloadB()} {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			var smallCost [2]float64
			for n := range 4 {
				factor, seed := []int{1, 10}[n%2], uint64(n/2+1)
				start := time.Now()
				r := harness.Run("briaryard", fleet.NewGradientLimiter, w.Scaled(factor), overload, seed)
				cost := [2]float64{float64(r.Messages) / float64(r.Arrivals), float64(r.Decisions) / float64(r.Arrivals)}
				t.Logf("%d times: for each request or retry %s, %.2f messages, %.2f decisions\n%s",
					factor, time.Since(start)/time.Duration(r.Arrivals), cost[0], cost[1], r)
				if factor == 1 {
					smallCost = cost
				} else if cost[0] > 1.1*smallCost[0] || cost[1] > 1 {
					t.Errorf("%s at %d times: %.2f messages and decisions for each request, want at most 10%% more messages than %.2f and one decision",
						w.Name, factor, cost, smallCost[0])
				}
				if got := r.Tiers[model.Urgent].Ratio(); got < 0.99 {
					t.Errorf("%s at %d times: top-tier goodput %.2f%%, want at least 99%%", w.Name, factor, 100*got)
				}
				if w.Name == "B" && r.Wasted() > 0.02*r.Prefill {
					t.Errorf("B at %d times: wasted prefill %.2f%%, want at most 2%%", factor, 100*r.Wasted()/r.Prefill)
				}
			}
		})
	}
}

// Prints a comparison of the concurrency limiters and checks nothing.
func TestCompareLaws(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a comparison; run with -v")
	}
	limiters := map[string]fleet.NewLimiter{"gradient": fleet.NewGradientLimiter, "aimd": fleet.NewAIMDLimiter, "fixed": fleet.NewFixedLimiter}
	for name, newLimiter := range limiters {
		for _, w := range []harness.Workload{harness.WorkloadA(), harness.WorkloadB()} {
			good, top, wasted, prefill := 0, 1.0, 0.0, 0.0
			var pause time.Duration
			for seed := range *seeds {
				r := harness.Run("briaryard", newLimiter, w, overload, uint64(seed+1))
				good += r.Goodput()
				top = min(top, r.Tiers[model.Urgent].Ratio())
				pause = max(pause, harness.Quantile(r.FirstTokensAfter, 0.99)-harness.Quantile(r.FirstTokensBefore, 0.99))
				wasted += r.Wasted()
				prefill += r.Prefill
			}
			t.Logf("%s %-8s good %d, worst top tier %.2f%%, wasted %.2f%%, worst pause %s",
				w.Name, name, good, 100*top, 100*wasted/prefill, pause.Round(time.Millisecond))
		}
	}
}
