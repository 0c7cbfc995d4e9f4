package member_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/member"
	"briaryard/internal/model"
)

// Guards against a home that was cut off from everything and removes its backend server, which
// others adopted meanwhile, for all instances when it comes back.
func TestIsolatedHomeRemovesNothing(t *testing.T) {
	for _, home := range []model.InstanceID{"a", "z"} {
		g := NewWithT(t)
		ids := []model.InstanceID{home, "m", "n"}
		f := &fleet{machines: make(map[model.InstanceID]*member.Machine)}
		for _, id := range ids {
			f.machines[id] = machine(id)
		}
		now := start
		none := func() bool { return false }
		connect := func(from, to model.InstanceID) {
			f.machines[from].PeerUp(now, model.Instance{ID: to, Incarnation: 1})
			f.machines[to].PeerUp(now, model.Instance{ID: from, Incarnation: 1})
		}
		connect(home, "m")
		connect(home, "n")
		connect("m", "n")
		f.machines[home].Announce(now, server(1, 0, model.Alive, ""))
		f.deliver(now, none)

		for _, other := range []model.InstanceID{"m", "n"} {
			f.machines[home].PeerSilent(now, other, start, true)
			f.machines[other].PeerSilent(now, home, start, true)
		}
		apart := &fleet{machines: map[model.InstanceID]*member.Machine{"m": f.machines["m"], "n": f.machines["n"]}}
		step := func(isolated bool) {
			now = now.Add(100 * time.Millisecond)
			f.machines["m"].Announce(now, server(1, 0, model.Alive, ""))
			for _, id := range ids {
				f.machines[id].Tick(now)
			}
			if isolated {
				f.machines[home].Take()
				apart.deliver(now, none)
				return
			}
			f.deliver(now, none)
		}
		for range 80 {
			step(true)
		}
		g.Expect(stateOf(f.machines[home])).To(Equal(model.Gone), "not used while it is not heard here")
		connect(home, "m")
		connect(home, "n")
		for range 50 {
			step(false)
			for _, id := range ids {
				g.Expect(stateOf(f.machines[id])).NotTo(Equal(model.Gone), "as %s sees it", id)
			}
		}
		for _, id := range ids {
			g.Expect(stateOf(f.machines[id])).To(Equal(model.Alive))
			s, _ := viewOf(f.machines[id]).Server("e1")
			g.Expect(s.Home).To(Equal(model.InstanceID("m")))
		}
	}
}
