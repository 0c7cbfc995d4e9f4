package placement_test

import (
	"testing"
	"time"

	"briaryard/internal/decide/placement"
	"briaryard/internal/model"
)

// newEngine returns an engine in d1 with the given models and all adapters.
func newEngine(id model.BackendServerID, checksFencing bool, models ...model.PoolID) model.BackendServer {
	return model.BackendServer{
		ID: id, Incarnation: 1, Slots: 1, Domain: "d1", Pools: models, Adapters: []string{"a-x", "b-x"}, ChecksFencing: checksFencing,
		Order: model.AnnouncedOrder{State: model.OrderNone},
	}
}

// newHolder returns a machine that has held the lease with epoch 7 since start.
func newHolder(servers ...model.BackendServer) *placement.Machine {
	m := placement.New(options)
	m.SetConfig(testConfig())
	m.SetServers(start, servers)
	m.SetLease(start, placement.Lease{Held: true, Epoch: 7, Until: start.Add(time.Hour)})
	m.Step(start)
	m.Take()
	return m
}

// ordersAt runs a step and returns the orders that it issued.
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

// Guards against an engine that executes orders of a new and an old holder at the same time, and
// against an unnecessary wait if the engine checks fencing tokens itself.
func TestTakeoverWaitsOnlyForEnginesWithoutFencing(t *testing.T) {
	config := testConfig()
	config.Placement.Settle = time.Millisecond
	for checks, first := range map[bool]time.Duration{true: time.Millisecond, false: options.TakeoverWait} {
		m := newHolder(newEngine("e1", checks))
		m.SetConfig(config)
		if !checks {
			if o := ordersAt(m, first-time.Millisecond); len(o) != 0 {
				t.Fatalf("order %v before the old lease had expired", o)
			}
		}
		// The takeover delays the first load by the time of the largest model at the byte rate.
		if o := ordersAt(m, first+time.Second); len(o) != 1 || o[0].ID.Epoch != 7 {
			t.Fatalf("orders %v, checks=%v", o, checks)
		}
	}
}

// Guards against repeating an order that the engine may still execute, and against an engine that
// gets no further orders after one was lost.
func TestUnknownOrderIsNotRepeatedBeforeItsOutcomeIsKnown(t *testing.T) {
	e := newEngine("e1", true)
	m := newHolder(e)
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
		t.Fatalf("orders %v after the announcements showed that the first was lost", again)
	}

	silent := e
	silent.Order = model.AnnouncedOrder{}
	m = newHolder(silent)
	o = ordersAt(m, 2*time.Second)
	m.Result(start.Add(2*time.Second), o[0].ID, placement.Unknown)
	if again := ordersAt(m, time.Hour-time.Second); len(again) != 0 {
		t.Fatalf("order %v to an engine that has not shown the outcome", again)
	}
}

// Guards against an unload that takes an engine from a more urgent tier, also while the demand is
// unknown, and against an unload that is allowed but never ordered.
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
		m := newHolder(newEngine("e1", true, "a"), newEngine("e2", true, "a"))
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

// Guards against swapping models back and forth within the declared hold time.
func TestModelStaysForTheDeclaredTime(t *testing.T) {
	m := newHolder(newEngine("e1", true, "a"), newEngine("e2", true, "a"))
	for d := time.Second; d < hold; d += time.Second {
		m.SetDemand(start.Add(d), placement.Demand{Pool: "a"})
		for _, o := range ordersAt(m, d) {
			if o.Kind == model.UnloadModel {
				t.Fatalf("unload after %s", d)
			}
		}
	}
}

// Guards against a failure domain that loses its last engine of a model because another domain
// has a surplus of that model.
func TestLastEngineOfAModelInADomainIsKept(t *testing.T) {
	far := []model.BackendServer{newEngine("e2", true, "a"), newEngine("e3", true, "a")}
	for i := range far {
		far[i].Domain = "d2"
	}
	m := newHolder(append(far, newEngine("e1", true, "a"))...)
	now := hold + time.Second
	for _, id := range []model.PoolID{"a", "b"} {
		m.SetDemand(start.Add(now), placement.Demand{Pool: id})
	}
	o := ordersAt(m, now)
	if len(o) != 1 || o[0].Kind != model.UnloadModel || o[0].Server == "e1" {
		t.Fatalf("orders %v, want one unload in d2", o)
	}
}
