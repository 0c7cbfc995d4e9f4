package consensus_test

import (
	"testing"
	"time"

	"briaryard/internal/decide/consensus"
)

// Guards against a group that bears fewer losses than its settings promise without anybody being told, as
// on a deployment where fewer processes of the control group were started than there are disks.
func TestTooFewVotersAreReported(t *testing.T) {
	var s consensus.Shortage
	start := time.Unix(1000, 0)
	reports := 0
	for second := range 80 {
		if s.Observe(start.Add(time.Duration(second)*time.Second), 4, 5) {
			reports++
		}
	}
	if reports != 2 {
		t.Errorf("reported %d times in 80 s, want after 10 s and after 70 s", reports)
	}
	if s.Observe(start.Add(81*time.Second), 5, 5) || s.Observe(start.Add(82*time.Second), 4, 5) {
		t.Error("reported without a shortage, or right after one has begun anew")
	}
}
