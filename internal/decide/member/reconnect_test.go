package member_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/member"
	"briaryard/internal/model"
)

// Guards against a change that was lost with a connection and reaches the peer only when its turn
// in the round of digests comes.
func TestNewConnectionRepairsLostChanges(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{machines: map[model.InstanceID]*member.Machine{"a": machine("a"), "b": machine("b")}}
	connect := func() {
		f.machines["a"].PeerUp(start, model.Instance{ID: "b", Incarnation: 1})
		f.machines["b"].PeerUp(start, model.Instance{ID: "a", Incarnation: 1})
	}
	connect()
	f.deliver(start, func() bool { return false })
	f.machines["a"].Announce(start, model.BackendServer{ID: "e1", Incarnation: 1})
	f.machines["b"].Announce(start, model.BackendServer{ID: "e2", Incarnation: 1})
	f.deliver(start, func() bool { return true })
	connect()
	f.deliver(start, func() bool { return false })
	for _, m := range f.machines {
		g.Expect(viewOf(m).Servers).To(HaveLen(2))
	}
}
