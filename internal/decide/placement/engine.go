package placement

import (
	"time"

	"briaryard/internal/model"
)

// Outcome is the result of sending an order.
type Outcome uint8

// Outcomes of sending an order.
const (
	// Accepted means that the engine has taken the order and reports its course.
	Accepted Outcome = iota
	// Refused means that the engine has not taken the order.
	Refused
	// RefusedFence means that the engine has seen a newer fencing token.
	RefusedFence
	// NotSent means that no byte of the order was written.
	NotSent
	// Unknown means that the order may have arrived.
	Unknown
)

// phase is what is known of an outstanding order.
type phase uint8

const (
	sending phase = iota
	accepted
	unknown
)

var phases = [...]string{"sending", "accepted", "unknown"}

// outstanding is an order that the engine's announced state has not settled.
type outstanding struct {
	order  model.Order
	sentAt time.Time
	phase  phase
	// unseen is since when the engine, alive, announces another order than this one; zero
	// while it does not.
	unseen time.Time
}

// engine is what is known of an engine.
type engine struct {
	record  model.BackendServer
	present bool
	away    time.Time
	// loaded is when each model was first seen on the engine.
	loaded map[model.PoolID]time.Time
	order  *outstanding
	// paused is until when the engine gets no order after a failure.
	paused time.Time
}

func (e *engine) update(now time.Time, s model.BackendServer) {
	for id := range e.loaded {
		if !s.Serves(id) {
			delete(e.loaded, id)
		}
	}
	for _, id := range s.Pools {
		if _, ok := e.loaded[id]; !ok {
			e.loaded[id] = now
		}
	}
	e.record, e.present, e.away = s, true, time.Time{}
}

// counts reports whether the engine counts as capacity. A suspect engine does: most come
// back, and the membership removes the others within 3 s.
func (e *engine) counts() bool {
	return e.present && (e.record.State == model.Alive || e.record.State == model.Suspect)
}

// running reports whether the engine announces an order that this instance did not give.
func (e *engine) running() bool {
	return e.order == nil && e.record.Order.State == model.OrderRunning
}

func (e *engine) pending(k model.OrderKind, id model.PoolID) bool {
	return e.order != nil && e.order.order.Kind == k && e.order.order.Model == id
}

// Result takes the result of sending an order.
func (m *Machine) Result(now time.Time, id model.OrderID, o Outcome) {
	for _, e := range m.sorted {
		if e.order == nil || e.order.order.ID != id || e.order.phase != sending {
			continue
		}
		switch o {
		case Accepted:
			e.order.phase = accepted
		case Refused:
			m.end(now, e, ReasonRefused, refusalPause)
		case RefusedFence:
			m.end(now, e, ReasonOldFence, refusalPause)
		case NotSent:
			m.end(now, e, ReasonNotSent, pauseAfterNotSent)
		case Unknown:
			e.order.phase = unknown
		}
		return
	}
}

// settle ends the orders whose fate the announced state shows.
func (m *Machine) settle(now time.Time) {
	for _, e := range m.sorted {
		if !e.present && e.away.IsZero() {
			e.away = now
		}
		if o := e.order; o != nil {
			if o.phase == sending && now.Sub(o.sentAt) >= m.options.ResultWithin {
				o.phase = unknown
			}
			m.settleOne(now, e, o)
		}
	}
}

func (m *Machine) settleOne(now time.Time, e *engine, o *outstanding) {
	if !e.present {
		o.unseen = time.Time{}
		if now.Sub(e.away) >= forgetAfter {
			m.end(now, e, ReasonEngineAway, 0)
		}
		return
	}
	announced := e.record.Order
	own := announced.ID == o.order.ID.String()
	switch {
	case own && announced.State == model.OrderFailed:
		m.end(now, e, ReasonFailed, refusalPause)
	case own && announced.State == model.OrderDone:
		m.end(now, e, ReasonReported, 0)
	case own:
		o.phase, o.unseen = accepted, time.Time{}
	case o.phase == sending || e.record.State != model.Alive:
		o.unseen = time.Time{}
	case announced.State == model.OrderUnreported:
		// An engine that reports its orders is not judged by its models: an earlier holder may
		// have caused the change while this order is still on its way.
		if o.order.Done(&e.record) {
			m.end(now, e, ReasonDone, 0)
		}
	case o.unseen.IsZero():
		o.unseen = now
	case now.Sub(o.unseen) >= shownWithin:
		m.end(now, e, ReasonNotCarried, refusalPause)
	}
}

// end settles an order and gives the engine a pause.
func (m *Machine) end(now time.Time, e *engine, reason string, pause time.Duration) {
	m.decisions = append(m.decisions, Decision{Kind: Settled, Order: e.order.order, Server: e.record, Reason: reason})
	e.order = nil
	e.paused = now.Add(pause)
}
