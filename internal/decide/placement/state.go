package placement

import (
	"cmp"
	"slices"
	"time"

	"briaryard/internal/model"
)

// State is what operators see.
type State struct {
	Held      bool
	Epoch     model.Epoch
	Orders    []OutstandingOrder
	Shortages []Shortage
	// Loads is the number of loads that run in the fleet.
	Loads int
}

// OutstandingOrder is an order that the engine's announced state has not settled.
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
	// Reason says why no order is given, or is empty while orders are on their way.
	Reason string
}

// State returns the present state, sorted.
func (m *Machine) State() State {
	s := State{Held: m.lease.Held, Epoch: m.lease.Epoch, Loads: m.loads()}
	for _, e := range m.sorted {
		if o := e.order; o != nil {
			s.Orders = append(s.Orders, OutstandingOrder{Order: o.order, Phase: phases[o.phase], Since: o.sentAt})
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
