package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"briaryard/internal/model"
)

// Options are fixed for the lifetime of a Machine.
type Options struct {
	// TakeoverWait is the time after learning of the own lease from which no order of an earlier
	// holder can arrive any more: the duration of its lease by the slower clock, plus the longest
	// time until an order arrives.
	TakeoverWait time.Duration
	// ResultWithin is the time after which the phase of an order without a result is unknown.
	ResultWithin time.Duration
}

const (
	// announceTimeout is the time within which the announcements of an engine that stays alive
	// show an order that it has accepted: the longest time until an order arrives, a heartbeat
	// (0.5 s), the broadcast of the record and, if that is lost, a round of digests at the current
	// number of instances (12 s).
	announceTimeout = 15 * time.Second
	// refusalPause is the time for which an engine gets no new order after it refused one or one
	// failed.
	refusalPause = 5 * time.Second
	// notSentPause is shorter than refusalPause, because the order did not reach the engine.
	notSentPause = time.Second
	// demandLifetime is the age at which reported demand becomes unknown. It equals five report
	// intervals: a pool's dispatcher sends one report per second.
	demandLifetime = 5 * time.Second
	// absenceTimeout is the time after which the order of an absent engine is ended. The
	// membership retains the record of a gone incarnation for the same time.
	absenceTimeout = 10 * time.Minute
)

// Lease is the state of the placement lease as known to this instance.
type Lease struct {
	// Held tells whether this instance holds the lease.
	Held bool
	// Epoch is the fencing token.
	Epoch model.Epoch
	// Until is when the lease expires, by the clock that is passed to the machine.
	Until time.Time
}

// Demand is the demand of a pool as reported by its dispatcher.
type Demand struct {
	Pool model.PoolID
	// Requests is the number of waiting and outstanding requests of each tier.
	Requests [model.TierCount]int
}

// poolInDomain is a pool in a failure domain.
type poolInDomain struct {
	pool   model.PoolID
	domain model.FailureDomain
}

// reportedDemand is the last reported demand of a pool and the time of the report.
type reportedDemand struct {
	requests [model.TierCount]int
	at       time.Time
}

// shortage describes a pool with fewer engines in a failure domain than declared.
type shortage struct {
	since      time.Time
	want, have int
	// reason says why no order is issued, or is empty.
	reason string
}

// Machine decides the placement of models and adapters on engines.
type Machine struct {
	options Options
	lease   Lease
	// epoch is the last lease epoch that this instance held, tookOverAt when it learned of it.
	epoch      model.Epoch
	tookOverAt time.Time
	config     *model.Config
	engines    map[model.BackendServerID]*engine
	// sorted lists the engines by id.
	sorted    []*engine
	demand    map[model.PoolID]reportedDemand
	shortages map[poolInDomain]*shortage
	// nextLoadAt is the earliest time of the next load under the declared byte rate.
	nextLoadAt time.Time
	// seq is the number of the last order, over all epochs of this instance.
	seq       uint64
	decisions []Decision
}

// New returns a machine that knows no engines and holds no lease.
func New(options Options) *Machine {
	return &Machine{
		options: options, config: &model.Config{}, engines: make(map[model.BackendServerID]*engine),
		demand: make(map[model.PoolID]reportedDemand), shortages: make(map[poolInDomain]*shortage),
	}
}

// SetLease sets the state of the lease. A new epoch is a takeover, also from an earlier epoch of
// this instance. A lease that expired and is valid again in the same epoch is not a takeover,
// because no other instance has held it.
func (m *Machine) SetLease(now time.Time, l Lease) {
	if l.Held && l.Epoch != m.epoch {
		m.epoch, m.tookOverAt = l.Epoch, now
		clear(m.shortages)
		// The previous holder may just have started a load of the largest model.
		m.chargeBytes(now, m.largestModelBytes())
	}
	m.lease = l
}

// SetConfig sets the configuration with the declared placement.
func (m *Machine) SetConfig(c *model.Config) { m.config = c }

// SetServers sets the known backend servers. An absent engine is retained while it has an
// outstanding order.
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
			e = &engine{loadedAt: make(map[model.PoolID]time.Time)}
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

// SetDemand sets the demand of a pool.
func (m *Machine) SetDemand(now time.Time, d Demand) {
	m.demand[d.Pool] = reportedDemand{requests: d.Requests, at: now}
}

// Step settles outstanding orders and, while the lease is valid, issues new ones.
func (m *Machine) Step(now time.Time) {
	m.settleOrders(now)
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

// issueOrder assigns an order to an engine and adds the decision.
func (m *Machine) issueOrder(now time.Time, e *engine, o model.Order, reason string, in Inputs) {
	m.seq++
	o.ID = model.OrderID{Epoch: m.lease.Epoch, Seq: m.seq}
	o.Server = e.record.ID
	in.Loads, in.Limit = m.runningLoads(), m.config.Placement.LoadsAtOnce
	if o.Kind.Loads() {
		m.chargeBytes(now, o.Bytes)
	}
	e.order = &outstanding{order: o, sentAt: now}
	m.decisions = append(m.decisions, Decision{
		Kind: Ordered, Order: o, Server: e.record, Until: m.lease.Until, Reason: reason, Inputs: in,
	})
}

// chargeBytes delays the next load by the time that bytes take at the declared rate.
func (m *Machine) chargeBytes(now time.Time, bytes int64) {
	p := m.config.Placement
	if p == nil || p.BytesPerSecond <= 0 || bytes <= 0 {
		return
	}
	d := time.Duration(float64(bytes) / float64(p.BytesPerSecond) * float64(time.Second))
	if next := now.Add(d); next.After(m.nextLoadAt) {
		m.nextLoadAt = next
	}
}

// largestModelBytes returns the size of the largest placed model.
func (m *Machine) largestModelBytes() int64 {
	var largest int64
	for _, p := range m.config.Pools {
		if p.Placed() {
			largest = max(largest, p.WeightBytes)
		}
	}
	return largest
}
