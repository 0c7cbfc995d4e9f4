package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"briaryard/internal/model"
)

// plan issues orders for the pools with too few engines in a failure domain, those with the most
// urgent demand first, and then for missing adapters.
func (m *Machine) plan(now time.Time) {
	inDomain := make(map[model.FailureDomain][]*engine)
	for _, e := range m.sorted {
		if e.present {
			inDomain[e.record.Domain] = append(inDomain[e.record.Domain], e)
		}
	}
	pools := m.placedPools(now)
	current := make(map[poolInDomain]bool)
	for _, d := range slices.Sorted(maps.Keys(inDomain)) {
		reserved := make(map[*engine]bool)
		for i := range pools {
			at := poolInDomain{pools[i].ID, d}
			current[at] = true
			m.fillShortage(now, at, &pools[i], inDomain[d], reserved)
		}
	}
	maps.DeleteFunc(m.shortages, func(p poolInDomain, _ *shortage) bool { return !current[p] })
	m.loadAdapters(now, pools)
}

// placedPools returns the pools with declared placement, those with the most urgent demand first.
func (m *Machine) placedPools(now time.Time) []model.Pool {
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

// fillShortage issues orders until a pool has its declared number of engines in a failure domain,
// or withholds them with a reason.
func (m *Machine) fillShortage(now time.Time, at poolInDomain, pool *model.Pool, engines []*engine, reserved map[*engine]bool) {
	want, have := pool.Servers(at.domain), 0
	for _, e := range engines {
		if e.countsAsCapacity() && (e.record.Serves(at.pool) && !e.pending(model.UnloadModel, at.pool) || e.pending(model.LoadModel, at.pool)) {
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
		if reason := m.addEngine(now, at, pool, engines, reserved, n); reason != "" {
			m.withhold(at, s, reason)
			return
		}
		s.have, s.reason = n+1, ""
	}
}

// addEngine issues an order to load the model on an engine, or returns the reason why it cannot
// yet. If no engine has capacity, it issues an order to unload another model.
func (m *Machine) addEngine(now time.Time, at poolInDomain, pool *model.Pool, engines []*engine, reserved map[*engine]bool, have int) string {
	in := Inputs{Pool: at.pool, Domain: at.domain, Want: pool.Servers(at.domain), Have: have, Gains: m.tierName(now, at.pool)}
	spare, busy := m.findSpare(now, at.pool, engines, reserved)
	if spare == nil && busy != nil {
		reserved[busy] = true
		return m.unavailableReason(now, busy)
	}
	if reason := m.loadLimitReason(now); reason != "" {
		if spare != nil {
			reserved[spare] = true
		}
		return reason
	}
	if spare != nil {
		reserved[spare] = true
		m.issueOrder(now, spare, model.Order{Kind: model.LoadModel, Model: at.pool, Bytes: pool.WeightBytes}, ReasonMissing, in)
		return ""
	}
	victim, loses, reason := m.selectVictim(now, at, engines, reserved)
	if victim == nil {
		return reason
	}
	reserved[victim] = true
	in.Loses = m.tierName(now, loses)
	m.issueOrder(now, victim, model.Order{Kind: model.UnloadModel, Model: loses}, ReasonMakeRoom, in)
	return ReasonBusy
}

// findSpare returns the engine with the fewest models that can load a pool's model now, or nil,
// and the first engine that has or will have capacity but cannot be given an order yet, or nil.
func (m *Machine) findSpare(now time.Time, id model.PoolID, engines []*engine, reserved map[*engine]bool) (spare, busy *engine) {
	for _, e := range engines {
		unresolved := e.order != nil && e.order.phase == unknown
		if e.record.State != model.Alive || e.record.Serves(id) || reserved[e] || unresolved {
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
		case !m.acceptsOrder(now, e):
			busy = cmp.Or(busy, e)
		case spare == nil || len(e.record.Pools) < len(spare.record.Pools):
			spare = e
		}
	}
	return spare, busy
}

// acceptsOrder reports whether an order may be issued to an engine.
func (m *Machine) acceptsOrder(now time.Time, e *engine) bool {
	return e.present && e.record.State == model.Alive && e.order == nil && !e.runsOtherOrder() &&
		!now.Before(e.pausedUntil) && m.fenced(now, e)
}

// fenced reports whether orders of earlier holders can no longer take effect on an engine: the
// engine checks fencing tokens, or the takeover wait is over.
func (m *Machine) fenced(now time.Time, e *engine) bool {
	return e.record.ChecksFencing || now.Sub(m.tookOverAt) >= m.options.TakeoverWait
}

// unavailableReason returns the reason why an engine cannot be given an order.
func (m *Machine) unavailableReason(now time.Time, e *engine) string {
	if e.order == nil && !m.fenced(now, e) {
		return ReasonTakeover
	}
	return ReasonBusy
}

// runningLoads returns the number of running loads in the fleet. A running order of another
// holder counts, because it may be a load. The load of an absent engine does not count, because
// otherwise the failure of engines could block all loads.
func (m *Machine) runningLoads() int {
	n := 0
	for _, e := range m.sorted {
		if e.present && (e.order != nil && e.order.order.Kind.Loads() || e.runsOtherOrder()) {
			n++
		}
	}
	return n
}

// loadLimitReason returns the reason why no load may start now, or an empty string.
func (m *Machine) loadLimitReason(now time.Time) string {
	switch {
	case m.runningLoads() >= m.config.Placement.LoadsAtOnce:
		return ReasonLoads
	case now.Before(m.nextLoadAt):
		return ReasonBytes
	}
	return ""
}

// selectVictim returns an engine that can unload a model and the pool of that model, which has
// more engines than declared; it prefers the pool with the largest surplus. Without one it returns
// nil and the reason.
func (m *Machine) selectVictim(now time.Time, at poolInDomain, engines []*engine, reserved map[*engine]bool) (*engine, model.PoolID, string) {
	reason := ReasonNoEngine
	gains, _ := m.mostUrgent(now, at.pool)
	var best *engine
	var loses model.PoolID
	largest := 0
	surpluses := make(map[model.PoolID]int)
	for _, e := range engines {
		if reserved[e] || e.record.Serves(at.pool) || e.record.State != model.Alive {
			continue
		}
		for _, id := range e.record.Pools {
			surplus, known := surpluses[id]
			if !known {
				surplus = m.surplus(id, at.domain, engines)
				surpluses[id] = surplus
			}
			if surplus <= 0 {
				continue
			}
			switch refusal := m.keepReason(now, e, id, gains); {
			case refusal != "":
				reason = refusal
			case surplus > largest:
				best, loses, largest = e, id, surplus
			}
		}
	}
	return best, loses, reason
}

// keepReason returns the reason why an engine must keep a model for now, or an empty string. A
// pool whose demand is unknown is treated as used by the most urgent tier.
func (m *Machine) keepReason(now time.Time, e *engine, id model.PoolID, gains model.Tier) string {
	uses, known := m.mostUrgent(now, id)
	switch {
	case !m.acceptsOrder(now, e):
		return m.unavailableReason(now, e)
	case !known || uses < gains:
		return ReasonTier
	case now.Sub(e.loadedAt[id]) < m.config.Placement.Hold:
		return ReasonHold
	}
	return ""
}

// surplus returns the number of engines of a placed pool in a failure domain above the declared
// number. Only engines that are alive and are not unloading the model count.
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

// loadAdapters issues orders for declared adapters that are missing on engines of their pools.
func (m *Machine) loadAdapters(now time.Time, pools []model.Pool) {
	for i := range pools {
		p := &pools[i]
		if len(p.Adapters) == 0 {
			continue
		}
		for _, e := range m.sorted {
			if !m.acceptsOrder(now, e) || !e.record.Serves(p.ID) {
				continue
			}
			missing := slices.IndexFunc(p.Adapters, func(a string) bool { return !e.record.HasAdapter(a) })
			if missing < 0 {
				continue
			}
			if m.loadLimitReason(now) != "" {
				return
			}
			m.issueOrder(now, e, model.Order{Kind: model.LoadAdapter, Model: p.ID, Adapter: p.Adapters[missing]}, ReasonAdapter,
				Inputs{Pool: p.ID, Domain: e.record.Domain, Gains: m.tierName(now, p.ID)})
		}
	}
}

// withhold sets the reason of a shortage and adds a decision if the reason has changed.
func (m *Machine) withhold(at poolInDomain, s *shortage, reason string) {
	if s.reason == reason {
		return
	}
	s.reason = reason
	m.decisions = append(m.decisions, Decision{Kind: Withheld, Reason: reason, Inputs: Inputs{
		Pool: at.pool, Domain: at.domain, Want: s.want, Have: s.have, Loads: m.runningLoads(), Limit: m.config.Placement.LoadsAtOnce,
	}})
}

// mostUrgent returns the most urgent tier that uses a pool, or TierCount if none does. The result
// is false if the demand is unknown.
func (m *Machine) mostUrgent(now time.Time, id model.PoolID) (model.Tier, bool) {
	d, ok := m.demand[id]
	if !ok || now.Sub(d.at) >= demandLifetime {
		return model.TierCount, false
	}
	for t, n := range d.requests {
		if n > 0 {
			return model.Tier(t), true
		}
	}
	return model.TierCount, true
}

// tierName returns the name of the most urgent tier that uses a pool, "none" or "unknown".
func (m *Machine) tierName(now time.Time, id model.PoolID) string {
	switch t, known := m.mostUrgent(now, id); {
	case !known:
		return "unknown"
	case t == model.TierCount:
		return "none"
	default:
		return t.String()
	}
}
