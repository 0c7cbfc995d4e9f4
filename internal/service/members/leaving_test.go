package members_test

import (
	"testing"
	"time"

	"briaryard/internal/model"
	"briaryard/internal/port"
)

// Guards against instances that keep using a backend server that announced to another instance
// that it is leaving, and against a late heartbeat that makes a leaving server alive again.
func TestLeavingIsKnownEverywhereAndFinal(t *testing.T) {
	all, _ := startFleet(t, 6)
	state := func(m *testInstance) model.MemberState {
		if v := m.view.Load(); v != nil {
			if s, ok := v.Server("e1"); ok {
				return s.State
			}
		}
		return model.Gone
	}
	everywhere := func(want model.MemberState) func() bool {
		return func() bool {
			for _, m := range all {
				if state(m) != want {
					return false
				}
			}
			return true
		}
	}
	s := model.BackendServer{ID: "e1", Incarnation: 1, Address: "127.0.0.1:1", Pools: []model.PoolID{"notes"}, Slots: 1}
	announce := func(at *testInstance) { _ = at.service.Announce(port.Announcement{Server: s}) }
	eventually(t, "views of all instances", func() bool {
		for _, m := range all {
			if v := m.view.Load(); v == nil || len(v.Instances) != len(all) {
				return false
			}
		}
		return true
	})
	announce(all[3])
	eventually(t, "known everywhere", everywhere(model.Alive))
	s.State = model.Leaving
	began := time.Now()
	announce(all[3])
	eventually(t, "leaving everywhere", everywhere(model.Leaving))
	t.Logf("all 6 instances knew the state leaving after %v", time.Since(began))
	s.State = model.Alive
	announce(all[5]) // a late heartbeat, at another instance
	eventually(t, "the new home", func() bool {
		v, _ := all[0].view.Load().Server("e1")
		return v.Home == "instance-5"
	})
	if !everywhere(model.Leaving)() && !everywhere(model.Gone)() {
		t.Fatal("the late heartbeat replaced the state leaving")
	}
}
