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
	leaseTime = 500 * time.Millisecond
	ownTime   = leaseTime * 99 / 100
	expiry    = leaseTime * 101 / 100
	// onTheWay bounds the time from the decision to the arrival of an order.
	onTheWay  = 250 * time.Millisecond
	loadLimit = 2
	byteRate  = 100
	modelSize = 50
	hold      = 20 * time.Second
)

var (
	start   = time.Unix(1_000_000, 0)
	options = placement.Options{TakeoverWait: expiry + onTheWay, ResultWithin: 3 * time.Second}
)

func configured() *model.Config {
	c := &model.Config{
		Placement: &model.Placement{LoadsAtOnce: loadLimit, BytesPerSecond: byteRate, ModelsPerEngine: 1, Settle: time.Second, Hold: hold},
		Pools:     make(map[model.PoolID]model.Pool),
	}
	for _, id := range []model.PoolID{"a", "b"} {
		c.Pools[id] = model.Pool{ID: id, ServersPerDomain: 1, WeightBytes: modelSize, Adapters: []string{string(id) + "-x"}}
	}
	return c
}

// simulated is an engine that accepts, loses or refuses orders and announces its state late.
type simulated struct {
	actual    model.BackendServer
	announced model.BackendServer
	running   *model.Order
	until     time.Time
	// newest is the highest fencing token that arrived.
	newest model.Epoch
}

// arriving is an order on its way.
type arriving struct {
	decision placement.Decision
	at       time.Time
	by       int
	lost     bool
}

// world holds two instances of which at most one has a lease at a time.
type world struct {
	t        *rapid.T
	now      time.Time
	machines [2]*placement.Machine
	leases   [2]placement.Lease
	demand   map[model.PoolID]model.Tier
	engines  []*simulated
	way      []arriving
	epoch    model.Epoch
	holder   int
	// granted is the last time from which the holder counts its lease.
	granted time.Time
	// given lists the unsettled orders of each instance by engine.
	given    [2]map[model.BackendServerID]model.Order
	lastLoad [2]time.Time
	unloaded map[string]time.Time
	ids      map[model.OrderID]bool
	orders   int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, holder: -1, demand: make(map[model.PoolID]model.Tier), unloaded: make(map[string]time.Time), ids: make(map[model.OrderID]bool)}
	for i := range w.machines {
		w.machines[i] = placement.New(options)
		w.machines[i].SetConfig(configured())
		w.given[i] = make(map[model.BackendServerID]model.Order)
		w.lastLoad[i] = start.Add(-time.Hour)
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
		w.engines = append(w.engines, &simulated{actual: s, announced: s})
	}
	w.announceAll()
	return w
}

func (w *world) announceAll() {
	var view []model.BackendServer
	for _, e := range w.engines {
		view = append(view, e.announced)
	}
	for _, m := range w.machines {
		m.SetServers(w.now, view)
	}
}

func (w *world) engine(id model.BackendServerID) *simulated {
	return w.engines[slices.IndexFunc(w.engines, func(e *simulated) bool { return e.actual.ID == id })]
}

// advance moves the time in small steps, delivers orders and lets both instances decide.
func (w *world) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for range d / step {
		w.now = w.now.Add(step)
		w.renew()
		w.deliver()
		for _, e := range w.engines {
			e.work(w.now)
		}
		for i, m := range w.machines {
			m.Step(w.now)
			w.take(i, m.Take())
		}
	}
}

func (w *world) renew() {
	if w.holder >= 0 && w.now.Sub(w.granted) >= 100*time.Millisecond {
		w.grant(w.holder)
	}
}

func (w *world) grant(i int) {
	w.granted = w.now
	w.leases[i] = placement.Lease{Held: true, Epoch: w.epoch, Until: w.now.Add(ownTime)}
	w.machines[i].SetLease(w.now, w.leases[i])
}

// move gives the lease to an instance. With a silent holder, which goes on believing in its
// lease, the group waits until that has run out.
func (w *world) move(to int, silent bool) {
	if old := w.holder; old >= 0 && !silent {
		w.leases[old] = placement.Lease{}
		w.machines[old].SetLease(w.now, w.leases[old])
	} else if old >= 0 {
		w.holder = -1
		w.advance(expiry + 50*time.Millisecond)
	}
	w.epoch++
	w.holder = to
	w.grant(to)
}

func (w *world) take(i int, decisions []placement.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case placement.Ordered:
			w.check(i, d)
			w.given[i][d.Order.Server] = d.Order
			w.orders++
			w.way = append(w.way, arriving{
				decision: d, by: i, lost: rapid.IntRange(0, 5).Draw(w.t, "lost") == 0,
				at: w.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(w.t, "delay")) * onTheWay / 5),
			})
		case placement.Settled:
			delete(w.given[i], d.Order.Server)
		case placement.Withheld:
		}
	}
}

// check holds an order against the rules, with what the instance can know.
func (w *world) check(i int, d placement.Decision) {
	o, l, e := d.Order, w.leases[i], w.engine(d.Order.Server)
	if !l.Held || !w.now.Before(l.Until) || d.Until != l.Until {
		w.t.Fatalf("order %s without a valid lease", o.ID)
	}
	if o.ID.Epoch != l.Epoch {
		w.t.Fatalf("order %s with another token than %d", o.ID, l.Epoch)
	}
	if w.ids[o.ID] {
		w.t.Fatalf("order id %s is used twice", o.ID)
	}
	w.ids[o.ID] = true
	if before, ok := w.given[i][o.Server]; ok {
		w.t.Fatalf("order %s for %s while %s is outstanding", o.ID, o.Server, before.ID)
	}
	if e.announced.State != model.Alive {
		w.t.Fatalf("order %s for %s, which is %s", o.ID, o.Server, e.announced.State)
	}
	if o.Kind.Loads() {
		w.checkPace(i, o)
	}
	w.checkSpread(i, o, e)
}

func (w *world) checkPace(i int, o model.Order) {
	loads := 1
	for _, g := range w.given[i] {
		if g.Kind.Loads() {
			loads++
		}
	}
	if loads > loadLimit {
		w.t.Fatalf("%d loads at once", loads)
	}
	if w.now.Sub(w.lastLoad[i]) < time.Second*modelSize/byteRate {
		w.t.Fatalf("load %s only %s after the last", o.ID, w.now.Sub(w.lastLoad[i]))
	}
	if o.Kind == model.LoadModel {
		w.lastLoad[i] = w.now
	}
}

// checkSpread counts the engines of a model in the engine's failure domain.
func (w *world) checkSpread(i int, o model.Order, on *simulated) {
	have := 0
	for _, e := range w.engines {
		g, pending := w.given[i][e.announced.ID]
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
			w.t.Fatalf("load of %s where %d engines have it", o.Model, have)
		}
	case model.UnloadModel:
		if have <= 1 {
			w.t.Fatalf("unload of %s where %d engines have it", o.Model, have)
		}
		other := model.PoolID("a")
		if o.Model == "a" {
			other = "b"
		}
		if w.demand[o.Model] < w.demand[other] {
			w.t.Fatalf("unload of %s, used by %s, for %s, used by %s", o.Model, w.demand[o.Model], other, w.demand[other])
		}
		key := fmt.Sprint(i, o.Server)
		if at, ok := w.unloaded[key]; ok && w.now.Sub(at) < hold {
			w.t.Fatalf("two unloads of %s within %s", key, w.now.Sub(at))
		}
		w.unloaded[key] = w.now
	default:
	}
}

func (w *world) deliver() {
	var rest []arriving
	for _, a := range w.way {
		if w.now.Before(a.at) {
			rest = append(rest, a)
			continue
		}
		outcome := placement.Unknown
		if !a.lost {
			outcome = w.arrive(a)
			if rapid.IntRange(0, 4).Draw(w.t, "answer lost") == 0 {
				outcome = placement.Unknown
			}
		}
		w.machines[a.by].Result(w.now, a.decision.Order.ID, outcome)
	}
	w.way = rest
}

func (w *world) arrive(a arriving) placement.Outcome {
	o, e := a.decision.Order, w.engine(a.decision.Order.Server)
	switch old := o.ID.Epoch < e.newest; {
	case old && e.actual.ChecksFencing:
		return placement.RefusedFence
	case old:
		w.t.Fatalf("order %s arrived at %s after one of epoch %d", o.ID, o.Server, e.newest)
	case e.running != nil && e.running.ID.Epoch == o.ID.Epoch:
		w.t.Fatalf("order %s arrived at %s while %s runs", o.ID, o.Server, e.running.ID)
	case e.running != nil:
		// The new holder has not seen the announcement of the earlier order yet.
		return placement.Refused
	}
	e.newest = o.ID.Epoch
	e.running = &o
	e.until = w.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(w.t, "work")) * 100 * time.Millisecond)
	e.actual.Order = model.AnnouncedOrder{ID: o.ID.String(), State: model.OrderRunning}
	return placement.Accepted
}

// work ends the running order when its time has come.
func (e *simulated) work(now time.Time) {
	if e.running == nil || now.Before(e.until) {
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

// Guards against two orders at once for an engine, more loads than declared, a placement
// that leaves a failure domain without its engines, a change that costs a more urgent tier
// its engine, changes back and forth, and orders with an old token or without a lease.
func TestOrdersKeepTheRules(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		defer func() { total += w.orders }()
		w.move(0, false)
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"announce": func(*rapid.T) {
				for _, e := range w.engines {
					e.announced = e.actual
				}
				w.announceAll()
			},
			"demand": func(t *rapid.T) {
				for _, id := range []model.PoolID{"a", "b"} {
					d := placement.Demand{Pool: id}
					w.demand[id] = model.Tier(rapid.IntRange(0, model.TierCount).Draw(t, "tier"))
					if w.demand[id] < model.TierCount {
						d.Requests[w.demand[id]] = 1
					}
					for _, m := range w.machines {
						m.SetDemand(w.now, d)
					}
				}
			},
			"lease lapses": func(*rapid.T) {
				w.machines[w.holder].SetLease(w.now, placement.Lease{})
				w.leases[w.holder] = placement.Lease{}
				w.grant(w.holder)
			},
			"move the lease":  func(t *rapid.T) { w.move(rapid.IntRange(0, 1).Draw(t, "to"), false) },
			"holder is lost":  func(*rapid.T) { w.move(1-max(w.holder, 0), true) },
			"an engine stops": func(t *rapid.T) { w.leave(t) },
		})
	})
	if total == 0 {
		t.Fatal("no order was given in any run")
	}
	t.Logf("%d orders", total)
}

// leave makes an engine leave, or brings a new incarnation of it without a model.
func (w *world) leave(t *rapid.T) {
	e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
	if e.actual.State == model.Leaving {
		e.actual.State, e.actual.Incarnation = model.Alive, e.actual.Incarnation+1
		e.actual.Pools, e.actual.Adapters, e.running = nil, nil, nil
		e.actual.Order = model.AnnouncedOrder{State: model.OrderNone}
	} else {
		e.actual.State = model.Leaving
	}
	e.announced = e.actual
	w.announceAll()
}
