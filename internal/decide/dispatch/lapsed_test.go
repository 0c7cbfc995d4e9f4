package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

// Guards against a dispatcher that sheds after another one may have replaced it, and against
// one that stops granting because its lease could not be renewed.
func TestLapsedPoolGrantsAndShedsNothing(t *testing.T) {
	g := NewWithT(t)
	now := epoch
	p := dispatch.NewPoolWith("m", 1, nil, fleet.NewGradient, 7)
	p.SetConfig(now, &model.Config{
		Teams: map[model.TeamID]model.Team{"a": {ID: "a", Weight: 1}},
		Pools: map[model.PoolID]model.Pool{"m": {ID: "m", MaxWaiting: 2}},
	})
	p.SetServers(now, []model.BackendServer{{ID: "s", Incarnation: 1, Slots: 1, Pools: []model.PoolID{"m"}}})
	p.SetLapsed(now, true)
	for seq := range uint64(6) {
		p.Register(now, model.Descriptor{
			ID: model.RequestID{Instance: "i", Incarnation: 1, Seq: seq}, Pool: "m", Team: "a", Tier: model.Batch,
			Arrived: now, Deadline: now.Add(time.Minute), PromptTokens: 10, OutputTokens: 10,
		})
	}
	kinds := func() map[dispatch.Kind]int {
		n := make(map[dispatch.Kind]int)
		for _, d := range p.Take() {
			n[d.Kind]++
		}
		return n
	}
	g.Expect(kinds()).To(Equal(map[dispatch.Kind]int{dispatch.Granted: 1}))
	p.SetLapsed(now, false)
	g.Expect(kinds()).To(Equal(map[dispatch.Kind]int{dispatch.Shed: 3}))
}
