package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"briaryard/internal/model"
)

// plan gives orders for the places with too few engines, the most urgent demand first, and
// then for missing adapters.
func (m *Machine) plan(now time.Time) {
	inDomain := make(map[model.FailureDomain][]*engine)
	for _, e := range m.sorted {
		if e.present {
			inDomain[e.record.Domain] = append(inDomain[e.record.Domain], e)
		}
	}
	pools := m.placed(now)
	listed := make(map[place]bool)
	for _, d := range slices.Sorted(maps.Keys(inDomain)) {
		reserved := make(map[*engine]bool)
		for i := range pools {
			at := place{pools[i].ID, d}
			listed[at] = true
			m.fill(now, at, &pools[i], inDomain[d], reserved)
		}
	}
	maps.DeleteFunc(m.shortages, func(p place, _ *shortage) bool { return !listed[p] })
	m.loadAdapters(now, pools)
}

// placed returns the pools with declared engines, those with the most urgent demand first.
func (m *Machine) placed(now time.Time) []model.Pool {
	var out []model.Pool
	for _, p := range m.config.Pools {
		if p.Placed() {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b model.Pool) int {
		x, _ := m.mostUrgent(now, a.ID)
		y, _ := m.mostUrgent(now, b.ID)
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// fill gives the orders that bring a place to its declared number of engines.
func (m *Machine) fill(now time.Time, at place, pool *model.Pool, engines []*engine, reserved map[*engine]bool) {
	want, have := pool.Servers(at.domain), 0
	for _, e := range engines {
		if e.counts() && (e.record.Serves(at.pool) && !e.pending(model.UnloadModel, at.pool) || e.pending(model.LoadModel, at.pool)) {
			have++
		}
	}
	if have >= want {
		delete(m.shortages, at)
		return
	}
	s := m.shortages[at]
	if s == nil {
		s = &shortage{since: now}
		m.shortages[at] = s
	}
	s.want, s.have = want, have
	if now.Sub(s.since) < m.config.Placement.Settle {
		m.withhold(at, s, ReasonSettling)
		return
	}
	for n := have; n < want; n++ {
		if reason := m.fillOne(now, at, pool, engines, reserved, n); reason != "" {
			m.withhold(at, s, reason)
			return
		}
		s.have, s.reason = n+1, ""
	}
}

// fillOne provides one engine or returns the reason why it cannot yet.
func (m *Machine) fillOne(now time.Time, at place, pool *model.Pool, engines []*engine, reserved map[*engine]bool, have int) string {
	in := Inputs{Pool: at.pool, Domain: at.domain, Want: pool.Servers(at.domain), Have: have, Gains: m.tierText(now, at.pool)}
	spare, waits := m.withRoom(now, at.pool, engines, reserved)
	if spare == nil && waits != nil {
		reserved[waits] = true
		return m.whyNot(now, waits)
	}
	if reason := m.pace(now); reason != "" {
		if spare != nil {
			reserved[spare] = true
		}
		return reason
	}
	if spare != nil {
		reserved[spare] = true
		m.give(now, spare, model.Order{Kind: model.LoadModel, Model: at.pool, Bytes: pool.WeightBytes}, ReasonMissing, in)
		return ""
	}
	victim, loses, reason := m.victim(now, at, engines, reserved)
	if victim == nil {
		return reason
	}
	reserved[victim] = true
	in.Loses = m.tierText(now, loses)
	m.give(now, victim, model.Order{Kind: model.UnloadModel, Model: loses}, ReasonMakeRoom, in)
	return ReasonBusy
}

// withRoom returns an engine that can load a pool's model now, or else one that has or will
// have room but cannot take an order yet.
func (m *Machine) withRoom(now time.Time, id model.PoolID, engines []*engine, reserved map[*engine]bool) (spare, waits *engine) {
	for _, e := range engines {
		stuck := e.order != nil && e.order.phase == unknown
		if e.record.State != model.Alive || e.record.Serves(id) || reserved[e] || stuck {
			continue
		}
		models := len(e.record.Pools)
		if e.order != nil {
			switch e.order.order.Kind {
			case model.LoadModel:
				models++
			case model.UnloadModel:
				models--
			case model.LoadAdapter, model.UnloadAdapter, model.ChangeRole:
			}
		}
		if models >= m.config.Placement.ModelsPerEngine {
			continue
		}
		switch {
		case !m.takesOrder(now, e):
			waits = cmp.Or(waits, e)
		case spare == nil || len(e.record.Pools) < len(spare.record.Pools):
			spare = e
		}
	}
	return spare, waits
}

// takesOrder reports whether an order may be given to an engine.
func (m *Machine) takesOrder(now time.Time, e *engine) bool {
	return e.present && e.record.State == model.Alive && e.order == nil && !e.running() &&
		!now.Before(e.paused) && m.fenced(now, e)
}

// fenced reports whether no earlier holder can disturb: the engine refuses its orders, or
// its lease has certainly run out.
func (m *Machine) fenced(now time.Time, e *engine) bool {
	return e.record.ChecksFencing || now.Sub(m.tookOver) >= m.options.TakeoverWait
}

func (m *Machine) whyNot(now time.Time, e *engine) string {
	if e.order == nil && !m.fenced(now, e) {
		return ReasonTakeover
	}
	return ReasonBusy
}

// loads counts the loads that run in the fleet. An order of another holder may be a load.
// The load of an engine that was removed is not counted, or its death would stop all loads.
func (m *Machine) loads() int {
	n := 0
	for _, e := range m.sorted {
		if e.present && (e.order != nil && e.order.order.Kind.Loads() || e.running()) {
			n++
		}
	}
	return n
}

// pace returns the reason why no load may begin now, or nothing.
func (m *Machine) pace(now time.Time) string {
	switch {
	case m.loads() >= m.config.Placement.LoadsAtOnce:
		return ReasonLoads
	case now.Before(m.nextLoad):
		return ReasonBytes
	}
	return ""
}

// victim returns an engine that can give up a model that its pool has more of than declared.
func (m *Machine) victim(now time.Time, at place, engines []*engine, reserved map[*engine]bool) (*engine, model.PoolID, string) {
	reason := ReasonNoEngine
	gains, _ := m.mostUrgent(now, at.pool)
	var best *engine
	var loses model.PoolID
	most := 0
	above := make(map[model.PoolID]int)
	for _, e := range engines {
		if reserved[e] || e.record.Serves(at.pool) || e.record.State != model.Alive {
			continue
		}
		for _, id := range e.record.Pools {
			surplus, counted := above[id]
			if !counted {
				surplus = m.surplus(id, at.domain, engines)
				above[id] = surplus
			}
			if surplus <= 0 {
				continue
			}
			switch refusal := m.keeps(now, e, id, gains); {
			case refusal != "":
				reason = refusal
			case surplus > most:
				best, loses, most = e, id, surplus
			}
		}
	}
	return best, loses, reason
}

// keeps returns the reason why an engine must keep a model for now, or nothing. A pool whose
// demand is unknown counts as used by its most urgent tier.
func (m *Machine) keeps(now time.Time, e *engine, id model.PoolID, gains model.Tier) string {
	uses, known := m.mostUrgent(now, id)
	switch {
	case !m.takesOrder(now, e):
		return m.whyNot(now, e)
	case !known || uses < gains:
		return ReasonTier
	case now.Sub(e.loaded[id]) < m.config.Placement.Hold:
		return ReasonHold
	}
	return ""
}

// surplus is the number of engines of a placed pool above the declared one. Only engines that
// are alive and keep the model count.
func (m *Machine) surplus(id model.PoolID, d model.FailureDomain, engines []*engine) int {
	pool, ok := m.config.Pools[id]
	if !ok || !pool.Placed() {
		return 0
	}
	n := 0
	for _, e := range engines {
		if e.record.State == model.Alive && e.record.Serves(id) && !e.pending(model.UnloadModel, id) {
			n++
		}
	}
	return n - pool.Servers(d)
}

// loadAdapters orders the declared adapters that are missing on engines of their pools.
func (m *Machine) loadAdapters(now time.Time, pools []model.Pool) {
	for i := range pools {
		p := &pools[i]
		if len(p.Adapters) == 0 {
			continue
		}
		for _, e := range m.sorted {
			if !m.takesOrder(now, e) || !e.record.Serves(p.ID) {
				continue
			}
			missing := slices.IndexFunc(p.Adapters, func(a string) bool { return !e.record.HasAdapter(a) })
			if missing < 0 {
				continue
			}
			if m.pace(now) != "" {
				return
			}
			m.give(now, e, model.Order{Kind: model.LoadAdapter, Model: p.ID, Adapter: p.Adapters[missing]}, ReasonAdapter,
				Inputs{Pool: p.ID, Domain: e.record.Domain, Gains: m.tierText(now, p.ID)})
		}
	}
}

func (m *Machine) withhold(at place, s *shortage, reason string) {
	if s.reason == reason {
		return
	}
	s.reason = reason
	m.decisions = append(m.decisions, Decision{Kind: Withheld, Reason: reason, Inputs: Inputs{
		Pool: at.pool, Domain: at.domain, Want: s.want, Have: s.have, Loads: m.loads(), Limit: m.config.Placement.LoadsAtOnce,
	}})
}

// mostUrgent returns the most urgent tier that uses a pool, or TierCount if none does. It
// returns false if the demand is not known.
func (m *Machine) mostUrgent(now time.Time, id model.PoolID) (model.Tier, bool) {
	d, ok := m.demand[id]
	if !ok || now.Sub(d.at) >= demandFresh {
		return model.TierCount, false
	}
	for t, n := range d.requests {
		if n > 0 {
			return model.Tier(t), true
		}
	}
	return model.TierCount, true
}

func (m *Machine) tierText(now time.Time, id model.PoolID) string {
	switch t, known := m.mostUrgent(now, id); {
	case !known:
		return "unknown"
	case t == model.TierCount:
		return "none"
	default:
		return t.String()
	}
}
