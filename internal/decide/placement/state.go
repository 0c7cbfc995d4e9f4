package placement

import (
	"cmp"
	"slices"
	"time"

	"briaryard/internal/model"
)

// State is the placement state that operators see.
type State struct {
	Held      bool
	Epoch     model.Epoch
	Orders    []OutstandingOrder
	Shortages []Shortage
	// Loads is the number of running loads in the fleet.
	Loads int
}

// OutstandingOrder is an order that the engine's announced state has not yet settled.
type OutstandingOrder struct {
	Order model.Order
	Phase string
	Since time.Time
}

// Shortage is a pool with fewer engines in a failure domain than declared.
type Shortage struct {
	Pool   model.PoolID
	Domain model.FailureDomain
	Want   int
	Have   int
	Since  time.Time
	// Reason says why no order is issued, or is empty while orders are outstanding.
	Reason string
}

// State returns the current state. Orders are sorted by engine, shortages by pool and failure
// domain.
func (m *Machine) State() State {
	s := State{Held: m.lease.Held, Epoch: m.lease.Epoch, Loads: m.runningLoads()}
	for _, e := range m.sorted {
		if o := e.order; o != nil {
			s.Orders = append(s.Orders, OutstandingOrder{Order: o.order, Phase: phaseNames[o.phase], Since: o.sentAt})
		}
	}
	for at, sh := range m.shortages {
		s.Shortages = append(s.Shortages, Shortage{
			Pool: at.pool, Domain: at.domain, Want: sh.want, Have: sh.have, Since: sh.since, Reason: sh.reason,
		})
	}
	slices.SortFunc(s.Shortages, func(a, b Shortage) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Domain, b.Domain))
	})
	return s
}
