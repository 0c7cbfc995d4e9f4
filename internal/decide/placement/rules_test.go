package placement_test

import (
	"testing"
	"time"

	"briaryard/internal/decide/placement"
	"briaryard/internal/model"
)

// engineOf returns an engine in d1 that has no models but those given.
func engineOf(id model.BackendServerID, checks bool, models ...model.PoolID) model.BackendServer {
	return model.BackendServer{
		ID: id, Incarnation: 1, Slots: 1, Domain: "d1", Pools: models, Adapters: []string{"a-x", "b-x"}, ChecksFencing: checks,
		Order: model.AnnouncedOrder{State: model.OrderNone},
	}
}

// holding returns a machine that has held the lease with epoch 7 since the start.
func holding(servers ...model.BackendServer) *placement.Machine {
	m := placement.New(options)
	m.SetConfig(configured())
	m.SetServers(start, servers)
	m.SetLease(start, placement.Lease{Held: true, Epoch: 7, Until: start.Add(time.Hour)})
	m.Step(start)
	m.Take()
	return m
}

func ordersAt(m *placement.Machine, d time.Duration) []model.Order {
	m.Step(start.Add(d))
	var out []model.Order
	for _, d := range m.Take() {
		if d.Kind == placement.Ordered {
			out = append(out, d.Order)
		}
	}
	return out
}

// Guards against an order of a new holder that an engine carries out beside one of the old
// holder, and against a needless wait where the engine tells them apart itself.
func TestNewHolderWaitsOnlyForEnginesThatIgnoreTokens(t *testing.T) {
	config := configured()
	config.Placement.Settle = time.Millisecond
	for checks, first := range map[bool]time.Duration{true: time.Millisecond, false: options.TakeoverWait} {
		m := holding(engineOf("e1", checks))
		m.SetConfig(config)
		if !checks {
			if o := ordersAt(m, first-time.Millisecond); len(o) != 0 {
				t.Fatalf("order %v before the old lease had run out", o)
			}
		}
		// The largest model has to be paid for before the first load.
		if o := ordersAt(m, first+time.Second); len(o) != 1 || o[0].ID.Epoch != 7 {
			t.Fatalf("orders %v, checks=%v", o, checks)
		}
	}
}

// Guards against a second order whose first copy may still be carried out, and against an
// engine that gets no order any more after one was lost.
func TestUnknownOrderIsNotRepeatedBeforeTheEngineShowsItsFate(t *testing.T) {
	e := engineOf("e1", true)
	m := holding(e)
	o := ordersAt(m, 2*time.Second)
	if len(o) != 1 {
		t.Fatalf("orders %v", o)
	}
	m.Result(start.Add(2*time.Second), o[0].ID, placement.Unknown)
	for d := 2 * time.Second; d < 16*time.Second; d += time.Second {
		if again := ordersAt(m, d); len(again) != 0 {
			t.Fatalf("order %v after %s", again, d)
		}
	}
	var again []model.Order
	for d := 16 * time.Second; d < 40*time.Second && len(again) == 0; d += time.Second {
		again = ordersAt(m, d)
	}
	if len(again) != 1 || again[0].ID == o[0].ID {
		t.Fatalf("orders %v after the announcements have shown that the first was lost", again)
	}

	silent := e
	silent.Order = model.AnnouncedOrder{}
	m = holding(silent)
	o = ordersAt(m, 2*time.Second)
	m.Result(start.Add(2*time.Second), o[0].ID, placement.Unknown)
	if again := ordersAt(m, time.Hour-time.Second); len(again) != 0 {
		t.Fatalf("order %v to an engine that has shown nothing", again)
	}
}

// Guards against a change that costs a more urgent tier its engine, also while the demand is
// not known, and against one that is never made.
func TestEngineIsTakenOnlyFromAPoolThatNoMoreUrgentTierUses(t *testing.T) {
	for name, c := range map[string]struct {
		gains, loses model.Tier
		known, want  bool
	}{
		"used by a more urgent tier": {model.Batch, model.Interactive, true, false},
		"used by a less urgent tier": {model.Interactive, model.Batch, true, true},
		"not used":                   {model.TierCount, model.TierCount, true, true},
		"unknown":                    {model.Urgent, model.TierCount, false, false},
	} {
		m := holding(engineOf("e1", true, "a"), engineOf("e2", true, "a"))
		now := start.Add(hold + time.Second)
		report := func(id model.PoolID, tier model.Tier) {
			d := placement.Demand{Pool: id}
			if tier < model.TierCount {
				d.Requests[tier] = 1
			}
			m.SetDemand(now, d)
		}
		report("b", c.gains)
		if c.known {
			report("a", c.loses)
		}
		unloads := 0
		for _, o := range ordersAt(m, hold+time.Second) {
			if o.Kind == model.UnloadModel {
				unloads++
			}
		}
		if (unloads == 1) != c.want {
			t.Fatalf("%s: %d unloads", name, unloads)
		}
	}
}

// Guards against models that move back and forth between pools.
func TestModelStaysForTheDeclaredTime(t *testing.T) {
	m := holding(engineOf("e1", true, "a"), engineOf("e2", true, "a"))
	for d := time.Second; d < hold; d += time.Second {
		m.SetDemand(start.Add(d), placement.Demand{Pool: "a"})
		for _, o := range ordersAt(m, d) {
			if o.Kind == model.UnloadModel {
				t.Fatalf("unload after %s", d)
			}
		}
	}
}

// Guards against a failure domain that loses its last engine of a model because another
// domain has more than declared.
func TestLastEngineOfAModelInADomainIsKept(t *testing.T) {
	far := []model.BackendServer{engineOf("e2", true, "a"), engineOf("e3", true, "a")}
	for i := range far {
		far[i].Domain = "d2"
	}
	m := holding(append(far, engineOf("e1", true, "a"))...)
	now := hold + time.Second
	for _, id := range []model.PoolID{"a", "b"} {
		m.SetDemand(start.Add(now), placement.Demand{Pool: id})
	}
	o := ordersAt(m, now)
	if len(o) != 1 || o[0].Kind != model.UnloadModel || o[0].Server == "e1" {
		t.Fatalf("orders %v, want one unload in d2", o)
	}
}
