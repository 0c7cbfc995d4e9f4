package allotment_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briaryard/internal/decide/allotment"
	"briaryard/internal/model"
)

var tolerance = allotment.Tolerance{Overage: 0.1, Slack: 72_000, Window: 8 * time.Second}

func teams(rate float64) []model.RoutedTeam {
	return []model.RoutedTeam{{ID: "t", Allotment: &model.Allotment{Rate: rate, Burst: rate, CountTokens: true, PlainTokens: 200}}}
}

// Guards against admitting more than the tolerated amount in any window under random arrivals, also
// when the dispatcher changes once.
func TestNoWindowExceedsWhatIsTolerated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(18_000, 200_000).Draw(t, "rate")
		limits := allotment.New(tolerance, 1)
		now := time.Unix(1000, 0)
		limits.SetTeams(now, teams(rate))
		type grant struct {
			at     time.Time
			tokens int
		}
		var grants []grant
		dispatcherChange := rapid.IntRange(0, 2999).Draw(t, "change")
		for i := range 3000 {
			if i == dispatcherChange {
				limits = allotment.New(tolerance, 1)
				limits.SetTeams(now, teams(rate))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond)
			tokens := rapid.IntRange(100, 5000).Draw(t, "tokens")
			if _, ok := limits.Take(now, "t", tokens); ok {
				grants = append(grants, grant{now, tokens})
			}
		}
		tolerated := (rate*8+rate)*1.1 + 72_000
		sum, first := 0, 0
		for i, g := range grants {
			sum += g.tokens
			for grants[first].at.Before(g.at.Add(-tolerance.Window)) {
				sum -= grants[first].tokens
				first++
			}
			if float64(sum) > tolerated {
				t.Fatalf("%d tokens admitted in the window that ends with grant %d, tolerated are %v", sum, i, tolerated)
			}
		}
	})
}

// Guards against refusing a team whose load equals its limit.
func TestAtTheLimitNothingIsRefused(t *testing.T) {
	g := NewWithT(t)
	limits := allotment.New(tolerance, 1)
	now := time.Unix(1000, 0)
	limits.SetTeams(now, teams(20_000))
	now = now.Add(time.Second)
	for range 200 {
		_, ok := limits.Take(now, "t", 2000)
		g.Expect(ok).To(BeTrue())
		now = now.Add(100 * time.Millisecond)
	}
}

// Guards against a lowered limit that takes effect only after the old bucket is empty, and against a
// denial without the time until a retry can succeed.
func TestALoweredLimitBindsAtOnce(t *testing.T) {
	g := NewWithT(t)
	limits := allotment.New(allotment.Tolerance{}, 1)
	now := time.Unix(1000, 0)
	limits.SetTeams(now, teams(100_000))
	now = now.Add(10 * time.Second)
	limits.SetTeams(now, teams(1000))
	_, ok := limits.Take(now, "t", 1000)
	g.Expect(ok).To(BeTrue())
	wait, ok := limits.Take(now, "t", 500)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond))
}

// Guards against charging a team for a request that has not run.
func TestRefundGivesBack(t *testing.T) {
	g := NewWithT(t)
	limits := allotment.New(allotment.Tolerance{}, 1)
	now := time.Unix(1000, 0)
	limits.SetTeams(now, teams(1000))
	now = now.Add(time.Minute)
	for range 10 {
		_, ok := limits.Take(now, "t", 1000)
		g.Expect(ok).To(BeTrue())
		limits.Refund(now, "t", 1000)
	}
}

// Guards against instances that decide without a dispatcher and together admit more than the fleet
// may.
func TestSharesAddUp(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	total := 0
	for range 12 {
		limits := allotment.New(tolerance, 1.0/12)
		limits.SetTeams(now, teams(100_000))
		for at := now; at.Before(now.Add(8 * time.Second)); at = at.Add(5 * time.Millisecond) {
			if _, ok := limits.Take(at, "t", 300); ok {
				total += 300
			}
		}
	}
	g.Expect(float64(total)).To(BeNumerically("<=", (100_000*9)*1.1+72_000))
}
