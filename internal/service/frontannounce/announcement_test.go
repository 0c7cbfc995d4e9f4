package frontannounce

import (
	"math"
	"testing"
	"time"
)

// Guards against a load report that seems fresh because its age does not fit a duration.
func TestTheAgeOfALoadReportIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for age, want := range map[int64]time.Duration{
		-1: 0, 0: 0, 250: 250 * time.Millisecond, math.MaxInt64: maxLoadAge, math.MinInt64: 0,
		// Multiplied by a million, this number wraps to a small one.
		math.MaxInt64/1_000_000 + 10: maxLoadAge, 1 << 58: maxLoadAge,
	} {
		a := Announcement{Load: &Load{AgeMS: age}}
		if got := now.Sub(a.loadReport(now).At); got != want {
			t.Errorf("age_ms %d: %v, want %v", age, got, want)
		}
	}
}
