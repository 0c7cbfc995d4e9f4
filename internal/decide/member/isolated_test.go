package member_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/member"
	"briaryard/internal/model"
)

// Guards against a home that loses all connections, marks its backend server as gone and, after
// reconnecting, removes it for all instances, although another one has adopted it meanwhile.
func TestIsolatedHomeRemovesNothing(t *testing.T) {
	for _, home := range []model.InstanceID{"a", "z"} {
		g := NewWithT(t)
		ids := []model.InstanceID{home, "m", "n"}
		f := &fleet{machines: make(map[model.InstanceID]*member.Machine)}
		for _, id := range ids {
			f.machines[id] = machine(id)
		}
		now := start
		loseNone := func() bool { return false }
		connect := func(from, to model.InstanceID) {
			f.machines[from].PeerUp(now, model.Instance{ID: to, Incarnation: 1})
			f.machines[to].PeerUp(now, model.Instance{ID: from, Incarnation: 1})
		}
		connect(home, "m")
		connect(home, "n")
		connect("m", "n")
		f.machines[home].Announce(now, server(1, 0, model.Alive, ""))
		f.deliver(now, loseNone)

		for _, other := range []model.InstanceID{"m", "n"} {
			f.machines[home].PeerSilent(now, other, start, true)
			f.machines[other].PeerSilent(now, home, start, true)
		}
		connectedPart := &fleet{machines: map[model.InstanceID]*member.Machine{"m": f.machines["m"], "n": f.machines["n"]}}
		step := func(isolated bool) {
			now = now.Add(100 * time.Millisecond)
			f.machines["m"].Announce(now, server(1, 0, model.Alive, ""))
			for _, id := range ids {
				f.machines[id].Tick(now)
			}
			if isolated {
				f.machines[home].Take()
				connectedPart.deliver(now, loseNone)
				return
			}
			f.deliver(now, loseNone)
		}
		for range 80 {
			step(true)
		}
		g.Expect(stateOf(f.machines[home])).To(Equal(model.Gone), "gone in the view of the home while its heartbeats do not arrive there")
		connect(home, "m")
		connect(home, "n")
		for range 50 {
			step(false)
			for _, id := range ids {
				g.Expect(stateOf(f.machines[id])).NotTo(Equal(model.Gone), "in the view of %s", id)
			}
		}
		for _, id := range ids {
			g.Expect(stateOf(f.machines[id])).To(Equal(model.Alive))
			s, _ := viewOf(f.machines[id]).Server("e1")
			g.Expect(s.Home).To(Equal(model.InstanceID("m")))
		}
	}
}
