package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/decide/placement"
	"briaryard/internal/model"
)

const (
	leaseDuration = 500 * time.Millisecond
	// holderLease and groupLease are the lease duration as counted by the holder and by the
	// control group, whose clocks differ.
	holderLease = leaseDuration * 99 / 100
	groupLease  = leaseDuration * 101 / 100
	// maxOrderDelay is the longest time from the decision to the arrival of an order.
	maxOrderDelay = 250 * time.Millisecond
	loadLimit     = 2
	byteRate      = 100
	modelSize     = 50
	hold          = 20 * time.Second
)

var (
	start   = time.Unix(1_000_000, 0)
	options = placement.Options{TakeoverWait: groupLease + maxOrderDelay, ResultWithin: 3 * time.Second}
)

func testConfig() *model.Config {
	c := &model.Config{
		Placement: &model.Placement{LoadsAtOnce: loadLimit, BytesPerSecond: byteRate, ModelsPerEngine: 1, Settle: time.Second, Hold: hold},
		Pools:     make(map[model.PoolID]model.Pool),
	}
	for _, id := range []model.PoolID{"a", "b"} {
		c.Pools[id] = model.Pool{ID: id, ServersPerDomain: 1, WeightBytes: modelSize, Adapters: []string{string(id) + "-x"}}
	}
	return c
}

// simulatedEngine is an engine that accepts or refuses orders and announces its state with a delay.
type simulatedEngine struct {
	actual      model.BackendServer
	announced   model.BackendServer
	running     *model.Order
	completesAt time.Time
	// highestEpoch is the highest fencing token of the orders accepted.
	highestEpoch model.Epoch
}

// inFlightOrder is an order that has been sent and has not arrived, or is lost.
type inFlightOrder struct {
	decision  placement.Decision
	arrivesAt time.Time
	sender    int
	lost      bool
}

// simulation has two instances, of which at most one holds the lease at a time, and the engines.
type simulation struct {
	t        *rapid.T
	now      time.Time
	machines [2]*placement.Machine
	leases   [2]placement.Lease
	demand   map[model.PoolID]model.Tier
	engines  []*simulatedEngine
	inFlight []inFlightOrder
	epoch    model.Epoch
	holder   int
	// grantedAt is the time of the last renewal, from which the holder counts its lease.
	grantedAt time.Time
	// outstanding has the unsettled orders of each instance by engine.
	outstanding [2]map[model.BackendServerID]model.Order
	lastLoad    [2]time.Time
	unloaded    map[string]time.Time
	ids         map[model.OrderID]bool
	orders      int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: start, holder: -1, demand: make(map[model.PoolID]model.Tier), unloaded: make(map[string]time.Time), ids: make(map[model.OrderID]bool)}
	for i := range sim.machines {
		sim.machines[i] = placement.New(options)
		sim.machines[i].SetConfig(testConfig())
		sim.outstanding[i] = make(map[model.BackendServerID]model.Order)
		sim.lastLoad[i] = start.Add(-time.Hour)
	}
	for i := range 6 {
		s := model.BackendServer{
			ID: model.BackendServerID(fmt.Sprintf("e%d", i)), Incarnation: 1, Slots: 1, Kind: model.EngineServer,
			Domain: model.FailureDomain(fmt.Sprintf("d%d", i%2)), ChecksFencing: rapid.Bool().Draw(t, "checks"),
			Order: model.AnnouncedOrder{State: model.OrderNone},
		}
		if m := rapid.SampledFrom([]model.PoolID{"", "a", "b"}).Draw(t, "model"); m != "" {
			s.Pools = []model.PoolID{m}
		}
		sim.engines = append(sim.engines, &simulatedEngine{actual: s, announced: s})
	}
	sim.announceAll()
	return sim
}

func (sim *simulation) announceAll() {
	var view []model.BackendServer
	for _, e := range sim.engines {
		view = append(view, e.announced)
	}
	for _, m := range sim.machines {
		m.SetServers(sim.now, view)
	}
}

func (sim *simulation) engineByID(id model.BackendServerID) *simulatedEngine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *simulatedEngine) bool { return e.actual.ID == id })]
}

// advance moves the time in steps of 50 ms, delivers orders and runs a step of both instances.
func (sim *simulation) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for range d / step {
		sim.now = sim.now.Add(step)
		sim.renewLease()
		sim.deliver()
		for _, e := range sim.engines {
			e.complete(sim.now)
		}
		for i, m := range sim.machines {
			m.Step(sim.now)
			sim.collect(i, m.Take())
		}
	}
}

func (sim *simulation) renewLease() {
	if sim.holder >= 0 && sim.now.Sub(sim.grantedAt) >= 100*time.Millisecond {
		sim.grantLease(sim.holder)
	}
}

func (sim *simulation) grantLease(i int) {
	sim.grantedAt = sim.now
	sim.leases[i] = placement.Lease{Held: true, Epoch: sim.epoch, Until: sim.now.Add(holderLease)}
	sim.machines[i].SetLease(sim.now, sim.leases[i])
}

// moveLease transfers the lease to an instance. If the previous holder is silent, it is not told
// that it lost the lease, and the transfer waits until the lease has expired.
func (sim *simulation) moveLease(to int, silent bool) {
	if old := sim.holder; old >= 0 && !silent {
		sim.leases[old] = placement.Lease{}
		sim.machines[old].SetLease(sim.now, sim.leases[old])
	} else if old >= 0 {
		sim.holder = -1
		sim.advance(groupLease + 50*time.Millisecond)
	}
	sim.epoch++
	sim.holder = to
	sim.grantLease(to)
}

func (sim *simulation) collect(i int, decisions []placement.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case placement.Ordered:
			sim.checkOrder(i, d)
			sim.outstanding[i][d.Order.Server] = d.Order
			sim.orders++
			sim.inFlight = append(sim.inFlight, inFlightOrder{
				decision: d, sender: i, lost: rapid.IntRange(0, 5).Draw(sim.t, "lost") == 0,
				arrivesAt: sim.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(sim.t, "delay")) * maxOrderDelay / 5),
			})
		case placement.Settled:
			delete(sim.outstanding[i], d.Order.Server)
		case placement.Withheld:
		}
	}
}

// checkOrder checks an order against the rules, given what the instance can know.
func (sim *simulation) checkOrder(i int, d placement.Decision) {
	o, l, e := d.Order, sim.leases[i], sim.engineByID(d.Order.Server)
	if !l.Held || !sim.now.Before(l.Until) || d.Until != l.Until {
		sim.t.Fatalf("order %s without a valid lease", o.ID)
	}
	if o.ID.Epoch != l.Epoch {
		sim.t.Fatalf("order %s has another fencing token than %d", o.ID, l.Epoch)
	}
	if sim.ids[o.ID] {
		sim.t.Fatalf("duplicate order id %s", o.ID)
	}
	sim.ids[o.ID] = true
	if before, ok := sim.outstanding[i][o.Server]; ok {
		sim.t.Fatalf("order %s for %s while %s is outstanding", o.ID, o.Server, before.ID)
	}
	if e.announced.State != model.Alive {
		sim.t.Fatalf("order %s for %s, which is %s", o.ID, o.Server, e.announced.State)
	}
	if o.Kind.Loads() {
		sim.checkPace(i, o)
	}
	sim.checkCounts(i, o, e)
}

// checkPace checks a load against the limits on concurrent loads and on the byte rate.
func (sim *simulation) checkPace(i int, o model.Order) {
	loads := 1
	for _, g := range sim.outstanding[i] {
		if g.Kind.Loads() {
			loads++
		}
	}
	if loads > loadLimit {
		sim.t.Fatalf("%d concurrent loads", loads)
	}
	if sim.now.Sub(sim.lastLoad[i]) < time.Second*modelSize/byteRate {
		sim.t.Fatalf("load %s only %s after the last", o.ID, sim.now.Sub(sim.lastLoad[i]))
	}
	if o.Kind == model.LoadModel {
		sim.lastLoad[i] = sim.now
	}
}

// checkCounts checks a load or unload against the number of engines of the model in the engine's
// failure domain. It also checks the tiers and the hold time of an unload.
func (sim *simulation) checkCounts(i int, o model.Order, on *simulatedEngine) {
	have := 0
	for _, e := range sim.engines {
		g, pending := sim.outstanding[i][e.announced.ID]
		loading := pending && g.Kind == model.LoadModel && g.Model == o.Model
		unloading := pending && g.Kind == model.UnloadModel && g.Model == o.Model
		counts := e.announced.State == model.Alive && e.announced.Domain == on.announced.Domain
		if counts && (e.announced.Serves(o.Model) && !unloading || loading) {
			have++
		}
	}
	switch o.Kind {
	case model.LoadModel:
		if have >= 1 {
			sim.t.Fatalf("load of %s where %d engines have it", o.Model, have)
		}
	case model.UnloadModel:
		if have <= 1 {
			sim.t.Fatalf("unload of %s where %d engines have it", o.Model, have)
		}
		other := model.PoolID("a")
		if o.Model == "a" {
			other = "b"
		}
		if sim.demand[o.Model] < sim.demand[other] {
			sim.t.Fatalf("unload of %s, used by %s, for %s, used by %s", o.Model, sim.demand[o.Model], other, sim.demand[other])
		}
		key := fmt.Sprint(i, o.Server)
		if at, ok := sim.unloaded[key]; ok && sim.now.Sub(at) < hold {
			sim.t.Fatalf("two unloads of %s within %s", key, sim.now.Sub(at))
		}
		sim.unloaded[key] = sim.now
	default:
	}
}

func (sim *simulation) deliver() {
	var rest []inFlightOrder
	for _, a := range sim.inFlight {
		if sim.now.Before(a.arrivesAt) {
			rest = append(rest, a)
			continue
		}
		outcome := placement.Unknown
		if !a.lost {
			outcome = sim.receive(a)
			if rapid.IntRange(0, 4).Draw(sim.t, "answer lost") == 0 {
				outcome = placement.Unknown
			}
		}
		sim.machines[a.sender].Result(sim.now, a.decision.Order.ID, outcome)
	}
	sim.inFlight = rest
}

func (sim *simulation) receive(a inFlightOrder) placement.Outcome {
	o, e := a.decision.Order, sim.engineByID(a.decision.Order.Server)
	switch old := o.ID.Epoch < e.highestEpoch; {
	case old && e.actual.ChecksFencing:
		return placement.RefusedFence
	case old:
		sim.t.Fatalf("order %s arrived at %s after one of epoch %d", o.ID, o.Server, e.highestEpoch)
	case e.running != nil && e.running.ID.Epoch == o.ID.Epoch:
		sim.t.Fatalf("order %s arrived at %s while %s runs", o.ID, o.Server, e.running.ID)
	case e.running != nil:
		// The new holder may not have received the announcement of the earlier order yet.
		return placement.Refused
	}
	e.highestEpoch = o.ID.Epoch
	e.running = &o
	e.completesAt = sim.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(sim.t, "work")) * 100 * time.Millisecond)
	e.actual.Order = model.AnnouncedOrder{ID: o.ID.String(), State: model.OrderRunning}
	return placement.Accepted
}

// complete executes the running order at its completion time.
func (e *simulatedEngine) complete(now time.Time) {
	if e.running == nil || now.Before(e.completesAt) {
		return
	}
	o := e.running
	e.running = nil
	e.actual.Order.State = model.OrderDone
	switch o.Kind {
	case model.LoadModel:
		e.actual.Pools = []model.PoolID{o.Model}
	case model.UnloadModel:
		e.actual.Pools, e.actual.Adapters = nil, nil
	case model.LoadAdapter:
		e.actual.Adapters = append(slices.Clone(e.actual.Adapters), o.Adapter)
	default:
	}
}

// Guards against two outstanding orders for an engine, more concurrent loads than declared, an
// unload that leaves a failure domain without its engines or takes an engine from a more urgent
// tier, repeated swaps of models, and orders with an old fencing token or without a lease.
func TestOrdersKeepTheRules(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		defer func() { total += sim.orders }()
		sim.moveLease(0, false)
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"announce": func(*rapid.T) {
				for _, e := range sim.engines {
					e.announced = e.actual
				}
				sim.announceAll()
			},
			"demand": func(t *rapid.T) {
				for _, id := range []model.PoolID{"a", "b"} {
					d := placement.Demand{Pool: id}
					sim.demand[id] = model.Tier(rapid.IntRange(0, model.TierCount).Draw(t, "tier"))
					if sim.demand[id] < model.TierCount {
						d.Requests[sim.demand[id]] = 1
					}
					for _, m := range sim.machines {
						m.SetDemand(sim.now, d)
					}
				}
			},
			"lease expires": func(*rapid.T) {
				sim.machines[sim.holder].SetLease(sim.now, placement.Lease{})
				sim.leases[sim.holder] = placement.Lease{}
				sim.grantLease(sim.holder)
			},
			"move the lease":  func(t *rapid.T) { sim.moveLease(rapid.IntRange(0, 1).Draw(t, "to"), false) },
			"holder is lost":  func(*rapid.T) { sim.moveLease(1-max(sim.holder, 0), true) },
			"an engine stops": func(t *rapid.T) { sim.toggleLeaving(t) },
		})
	})
	if total == 0 {
		t.Fatal("no order was issued in any run")
	}
	t.Logf("%d orders", total)
}

// toggleLeaving marks an engine as leaving. One that is already leaving restarts as a new
// incarnation without a model.
func (sim *simulation) toggleLeaving(t *rapid.T) {
	e := sim.engines[rapid.IntRange(0, len(sim.engines)-1).Draw(t, "engine")]
	if e.actual.State == model.Leaving {
		e.actual.State, e.actual.Incarnation = model.Alive, e.actual.Incarnation+1
		e.actual.Pools, e.actual.Adapters, e.running = nil, nil, nil
		e.actual.Order = model.AnnouncedOrder{State: model.OrderNone}
	} else {
		e.actual.State = model.Leaving
	}
	e.announced = e.actual
	sim.announceAll()
}
