package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"briaryard/internal/model"
)

// Options are fixed for the life of a Machine.
type Options struct {
	// TakeoverWait is the time from learning of the own lease after which no earlier holder can
	// give an order any more: the duration of its lease by the slower clock, and the time that
	// an order may take on its way.
	TakeoverWait time.Duration
	// ResultWithin is the time after which an order without a result counts as unknown.
	ResultWithin time.Duration
}

const (
	// shownWithin is the time within which the announcements of an engine that stays alive
	// show an order that it has accepted: the limit of an order's way, a heartbeat (0.5 s), the
	// flooding and, if that is lost, a round of digests at today's size (12 s).
	shownWithin = 15 * time.Second
	// refusalPause keeps an engine that refuses or fails from being asked again at once.
	refusalPause = 5 * time.Second
	// pauseAfterNotSent is shorter, because the engine was not asked.
	pauseAfterNotSent = time.Second
	// demandFresh is five reports of a pool's dispatcher, which sends one a second.
	demandFresh = 5 * time.Second
	// forgetAfter is the time after which an absent engine's order is dropped; the membership
	// remembers a gone incarnation as long.
	forgetAfter = 10 * time.Minute
)

// Lease is the placement lease as this instance knows it.
type Lease struct {
	// Held tells whether this instance holds the lease.
	Held bool
	// Epoch is the fencing token.
	Epoch model.Epoch
	// Until is when the lease runs out by the clock that is passed to the machine.
	Until time.Time
}

// Demand is the use of a pool, as its dispatcher reports it.
type Demand struct {
	Pool model.PoolID
	// Requests counts the waiting and outstanding requests of each tier.
	Requests [model.TierCount]int
}

// place is a pool in a failure domain.
type place struct {
	pool   model.PoolID
	domain model.FailureDomain
}

type seenDemand struct {
	requests [model.TierCount]int
	at       time.Time
}

// shortage is a place with fewer engines than declared.
type shortage struct {
	since      time.Time
	want, have int
	reason     string
}

// Machine decides the placement of models and adapters.
type Machine struct {
	options Options
	lease   Lease
	// epoch is the last one that this instance held, and tookOver when it learned of it.
	epoch    model.Epoch
	tookOver time.Time
	config   *model.Config
	engines  map[model.BackendServerID]*engine
	// sorted lists the engines by id.
	sorted    []*engine
	demand    map[model.PoolID]seenDemand
	shortages map[place]*shortage
	// nextLoad is when the bytes of the last load are paid for.
	nextLoad time.Time
	// seq numbers the orders over all epochs of this instance.
	seq       uint64
	decisions []Decision
}

// New returns a machine that knows no engines and holds no lease.
func New(options Options) *Machine {
	return &Machine{
		options: options, config: &model.Config{}, engines: make(map[model.BackendServerID]*engine),
		demand: make(map[model.PoolID]seenDemand), shortages: make(map[place]*shortage),
	}
}

// SetLease takes the state of the lease. A new epoch is a takeover, also from an earlier
// epoch of this instance. A lease that lapsed and is valid again in the same epoch is none:
// nobody else has held it.
func (m *Machine) SetLease(now time.Time, l Lease) {
	if l.Held && l.Epoch != m.epoch {
		m.epoch, m.tookOver = l.Epoch, now
		clear(m.shortages)
		// The previous holder may just have begun the largest load.
		m.payFor(now, m.largestModel())
	}
	m.lease = l
}

// SetConfig takes the declared placement.
func (m *Machine) SetConfig(c *model.Config) { m.config = c }

// SetServers takes the known backend servers.
func (m *Machine) SetServers(now time.Time, servers []model.BackendServer) {
	for _, e := range m.engines {
		e.present = false
	}
	for i := range servers {
		s := servers[i]
		if s.Kind != model.EngineServer || s.State == model.Gone {
			continue
		}
		e := m.engines[s.ID]
		if e == nil {
			e = &engine{loaded: make(map[model.PoolID]time.Time)}
			m.engines[s.ID] = e
		}
		e.update(now, s)
	}
	for id, e := range m.engines {
		if !e.present && e.order == nil {
			delete(m.engines, id)
		}
	}
	m.sorted = slices.SortedFunc(maps.Values(m.engines), func(a, b *engine) int { return cmp.Compare(a.record.ID, b.record.ID) })
}

// SetDemand takes the demand of a pool.
func (m *Machine) SetDemand(now time.Time, d Demand) {
	m.demand[d.Pool] = seenDemand{requests: d.Requests, at: now}
}

// Step settles outstanding orders and gives new ones.
func (m *Machine) Step(now time.Time) {
	m.settle(now)
	if m.config.Placement == nil || !m.lease.Held || !now.Before(m.lease.Until) {
		if m.config.Placement == nil || !m.lease.Held {
			clear(m.shortages)
		}
		return
	}
	m.plan(now)
}

// Take returns the decisions since the last call.
func (m *Machine) Take() []Decision {
	d := m.decisions
	m.decisions = nil
	return d
}

func (m *Machine) give(now time.Time, e *engine, o model.Order, reason string, in Inputs) {
	m.seq++
	o.ID = model.OrderID{Epoch: m.lease.Epoch, Seq: m.seq}
	o.Server = e.record.ID
	in.Loads, in.Limit = m.loads(), m.config.Placement.LoadsAtOnce
	if o.Kind.Loads() {
		m.payFor(now, o.Bytes)
	}
	e.order = &outstanding{order: o, sentAt: now}
	m.decisions = append(m.decisions, Decision{
		Kind: Ordered, Order: o, Server: e.record, Until: m.lease.Until, Reason: reason, Inputs: in,
	})
}

// payFor delays the next load until the bytes of this one are within the declared rate.
func (m *Machine) payFor(now time.Time, bytes int64) {
	p := m.config.Placement
	if p == nil || p.BytesPerSecond <= 0 || bytes <= 0 {
		return
	}
	d := time.Duration(float64(bytes) / float64(p.BytesPerSecond) * float64(time.Second))
	if next := now.Add(d); next.After(m.nextLoad) {
		m.nextLoad = next
	}
}

func (m *Machine) largestModel() int64 {
	var largest int64
	for _, p := range m.config.Pools {
		if p.Placed() {
			largest = max(largest, p.WeightBytes)
		}
	}
	return largest
}
