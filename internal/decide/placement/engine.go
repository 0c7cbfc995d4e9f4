package placement

import (
	"time"

	"briaryard/internal/model"
)

// Outcome is the result of sending an order.
type Outcome uint8

// Outcomes of sending an order.
const (
	// Accepted means that the engine has accepted the order and reports its progress.
	Accepted Outcome = iota
	// Refused means that the engine has not accepted the order.
	Refused
	// RefusedFence means that the engine has seen a newer fencing token.
	RefusedFence
	// NotSent means that no byte of the order was written.
	NotSent
	// Unknown means that the order may have arrived.
	Unknown
)

// phase is the phase of an outstanding order.
type phase uint8

const (
	// sending means that there is no result yet.
	sending phase = iota
	// accepted means that the engine has accepted or announced the order.
	accepted
	// unknown means that the order may or may not have arrived.
	unknown
)

var phaseNames = [...]string{"sending", "accepted", "unknown"}

// outstanding is an order that the engine's announced state has not yet settled.
type outstanding struct {
	order  model.Order
	sentAt time.Time
	phase  phase
	// notAnnouncedSince is since when the engine is alive and does not announce this order; zero
	// otherwise.
	notAnnouncedSince time.Time
}

// engine is the record of an engine and its outstanding order.
type engine struct {
	record model.BackendServer
	// present tells whether the last list of servers has the engine.
	present     bool
	absentSince time.Time
	// loadedAt is when each model was first seen on the engine.
	loadedAt map[model.PoolID]time.Time
	order    *outstanding
	// pausedUntil is the time until which the engine gets no order, after a failed one.
	pausedUntil time.Time
}

// update replaces the record and tracks since when each model is loaded.
func (e *engine) update(now time.Time, s model.BackendServer) {
	for id := range e.loadedAt {
		if !s.Serves(id) {
			delete(e.loadedAt, id)
		}
	}
	for _, id := range s.Pools {
		if _, ok := e.loadedAt[id]; !ok {
			e.loadedAt[id] = now
		}
	}
	e.record, e.present, e.absentSince = s, true, time.Time{}
}

// countsAsCapacity reports whether the engine counts towards the engines of its pools. A suspect
// engine does: most recover, and the membership removes the others within 3 s.
func (e *engine) countsAsCapacity() bool {
	return e.present && (e.record.State == model.Alive || e.record.State == model.Suspect)
}

// runsOtherOrder reports whether the engine announces a running order although this instance has
// none outstanding for it.
func (e *engine) runsOtherOrder() bool {
	return e.order == nil && e.record.Order.State == model.OrderRunning
}

// pending reports whether the engine has an outstanding order of a kind for a model.
func (e *engine) pending(k model.OrderKind, id model.PoolID) bool {
	return e.order != nil && e.order.order.Kind == k && e.order.order.Model == id
}

// Result handles the result of sending an order. It is ignored unless the order is in the phase
// sending.
func (m *Machine) Result(now time.Time, id model.OrderID, o Outcome) {
	for _, e := range m.sorted {
		if e.order == nil || e.order.order.ID != id || e.order.phase != sending {
			continue
		}
		switch o {
		case Accepted:
			e.order.phase = accepted
		case Refused:
			m.endOrder(now, e, ReasonRefused, refusalPause)
		case RefusedFence:
			m.endOrder(now, e, ReasonOldFence, refusalPause)
		case NotSent:
			m.endOrder(now, e, ReasonNotSent, notSentPause)
		case Unknown:
			e.order.phase = unknown
		}
		return
	}
}

// settleOrders ends the orders whose outcome the announced state shows, and notes which engines
// are absent.
func (m *Machine) settleOrders(now time.Time) {
	for _, e := range m.sorted {
		if !e.present && e.absentSince.IsZero() {
			e.absentSince = now
		}
		if o := e.order; o != nil {
			if o.phase == sending && now.Sub(o.sentAt) >= m.options.ResultWithin {
				o.phase = unknown
			}
			m.settleOrder(now, e, o)
		}
	}
}

// settleOrder ends an order if the engine announces it as done or failed, has been absent for
// absenceTimeout, or has not announced it for announceTimeout. For an engine that does not report
// its orders, it ends an order whose change the announced models and adapters show.
func (m *Machine) settleOrder(now time.Time, e *engine, o *outstanding) {
	if !e.present {
		o.notAnnouncedSince = time.Time{}
		if now.Sub(e.absentSince) >= absenceTimeout {
			m.endOrder(now, e, ReasonEngineAway, 0)
		}
		return
	}
	announced := e.record.Order
	own := announced.ID == o.order.ID.String()
	switch {
	case own && announced.State == model.OrderFailed:
		m.endOrder(now, e, ReasonFailed, refusalPause)
	case own && announced.State == model.OrderDone:
		m.endOrder(now, e, ReasonReported, 0)
	case own:
		o.phase, o.notAnnouncedSince = accepted, time.Time{}
	case o.phase == sending || e.record.State != model.Alive:
		o.notAnnouncedSince = time.Time{}
	case announced.State == model.OrderUnreported:
		// Only for an engine that does not report its orders is an order settled by the announced
		// change. For others the change may be due to an order of an earlier holder, while this
		// order has not arrived yet.
		if o.order.Done(&e.record) {
			m.endOrder(now, e, ReasonDone, 0)
		}
	case o.notAnnouncedSince.IsZero():
		o.notAnnouncedSince = now
	case now.Sub(o.notAnnouncedSince) >= announceTimeout:
		m.endOrder(now, e, ReasonNotCarried, refusalPause)
	}
}

// endOrder settles the order of an engine, which then gets no new order for the pause.
func (m *Machine) endOrder(now time.Time, e *engine, reason string, pause time.Duration) {
	m.decisions = append(m.decisions, Decision{Kind: Settled, Order: e.order.order, Server: e.record, Reason: reason})
	e.order = nil
	e.pausedUntil = now.Add(pause)
}
