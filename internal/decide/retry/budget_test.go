package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briaryard/internal/decide/retry"
)

var limit = retry.Limit{Ratio: 0.2, Allowance: 64, Window: 10 * time.Second}

// Guards against instances that do not coordinate and together exceed the fleet's retry limit in
// some window.
func TestInstancesTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		budgets := make([]*retry.Budget, n)
		for i := range budgets {
			budgets[i] = retry.New(limit)
			budgets[i].SetInstances(n)
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range 2000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			b.Request(now, "s")
			requests = append(requests, now)
			if b.Take(now, "s") {
				retries = append(retries, now)
			}
		}
		for i := range retries {
			from := retries[i].Add(-limit.Window)
			if got, most := countSince(retries[:i+1], from), 0.2*float64(countSince(requests, from))+64; float64(got) > most {
				t.Fatalf("%d retries in a window that allows %v", got, most)
			}
		}
	})
}

// countSince returns the number of times in list that are not before from.
func countSince(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// Guards against retries that still count against the budget after they have left the window.
func TestOldRepeatsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	b := retry.New(limit)
	now := time.Unix(1000, 0)
	for b.Take(now, "s") {
	}
	g.Expect(b.Take(now.Add(9*time.Second), "s")).To(BeFalse())
	g.Expect(b.Take(now.Add(10500*time.Millisecond), "s")).To(BeTrue())
}
