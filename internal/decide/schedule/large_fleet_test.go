package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/schedule"
)

// Guards against a large fleet in which a few servers get all the requests, because only a part of the
// servers is compared for a grant.
func TestALargeFleetIsUsedEvenly(t *testing.T) {
	g := NewWithT(t)
	const engines = 3000
	s := newFleet(engines, 0)
	used := make(map[string]int)
	for seq := uint64(1); seq <= engines; seq++ {
		now := start.Add(time.Duration(seq) * time.Millisecond)
		s.Submit(now, want(seq, "llm", 0, now))
		for _, d := range s.Take() {
			g.Expect(d.Denied).To(BeFalse())
			used[string(d.Server.ID)]++
			finish(s, now.Add(time.Millisecond), d)
		}
	}
	g.Expect(len(used)).To(BeNumerically(">", engines/2))
	for id, n := range used {
		g.Expect(n).To(BeNumerically("<=", engines/100), id)
	}
}

// BenchmarkLightLoad measures a request from its arrival to its end in a fleet with free servers. Its cost
// must not grow with the number of servers as the fleet does.
func BenchmarkLightLoad(b *testing.B) {
	for _, engines := range []int{120, 1000, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			s := newFleet(engines, 0)
			now, seq := start, uint64(0)
			var running []schedule.Decision
			for b.Loop() {
				seq++
				now = now.Add(500 * time.Microsecond)
				s.Submit(now, want(seq, "llm", 0, now))
				running = append(running, s.Take()...)
				if len(running) > engines/4 {
					finish(s, now, running[0])
					running = running[1:]
				}
			}
		})
	}
}
