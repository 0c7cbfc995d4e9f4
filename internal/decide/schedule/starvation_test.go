package schedule_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// tagging is a load of long urgent answers and of short ones of the lowest rank, which are a third of all
// requests and a small part of the work.
var tagging = []kind{
	{"report", 0, 172, 6610, 42, 0.8, 200, 500 * time.Millisecond, 12 * time.Second, 7.8, 3.9},
	{"reply", 1, 273, 628, 32, 0.8, 160, 300 * time.Millisecond, 10 * time.Second, 2, 1},
	{"tagging", 2, 309, 1800, 3, 0.8, 12, 300 * time.Millisecond, 2500 * time.Millisecond, 0.34, 0.17},
}

// Guards against a kind of request that is refused for as long as more urgent work fills the servers,
// although its own work is small: of the short requests of the lowest rank 0.12 were served, of all 0.65.
//
// The bound is the users': each kind is served at least a quarter as often as all requests. The more urgent
// kinds must not pay for it with more than 2 in 100 of their served share.
func TestTheLowestRankIsNotStarved(t *testing.T) {
	for name, scale := range map[string]float64{"above capacity": 0.7, "far above capacity": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newSimulation(3, 60)
			w.kinds = tagging
			w.run(30*time.Second, scale, burst(0, 0, 1, -1))
			w.print(t)
			asked, served := 0, 0
			for k := range tagging {
				o := w.outcome(k)
				asked, served = asked+o.asked, served+o.served
			}
			all := float64(served) / float64(asked)
			for k := range tagging {
				g.Expect(w.outcome(k).share()).To(BeNumerically(">=", all/4), tagging[k].name)
			}
			g.Expect(w.outcome(0).share()).To(BeNumerically(">=", w.outcome(2).share()), "the lowest rank is not served before the most urgent")
		})
	}
}
