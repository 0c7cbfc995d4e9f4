package relay

import (
	"cmp"
	"time"

	"briaryard/internal/decide/hedge"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

const (
	// maxHedgeAsks bounds the requests for a second server while too little is known about the others. The time
	// between them is half a median at first, and doubles.
	maxHedgeAsks = 5
	// hedgePause is how long no second server is asked for after a denial that concerns the whole service. Under
	// overload, or while all servers are slow, most requests would ask.
	hedgePause = 200 * time.Millisecond
)

// hedgeDenial is a denial that concerns all requests of a service until a time.
type hedgeDenial struct {
	reason schedule.Reason
	until  time.Time
}

// hedgeState is the progress of the second call of a request that is slow.
type hedgeState struct {
	// dueAt is when the first call counts as slow, or zero if there is to be no second one. typical is the
	// median of the time to the first answer.
	dueAt   time.Time
	typical time.Duration
	// asked is set while the second call waits for the decision about its server.
	asked bool
	// asks counts the requests for a second server.
	asks int
	// revoked is set once the admission of the request no longer holds.
	revoked bool
	// won is set once the caller gets the answer of the second call.
	won bool
}

// EnableHedging lets the machine send a second call of slow requests. The limit of their number is part of
// the retry budget; freeSlots is the share of the service's slots that must stay free after the second call.
func (m *Machine) EnableHedging(freeSlots float64) {
	m.hedging, m.hedgeFreeSlots = true, freeSlots
	m.hedgeDenials = make(map[model.PoolID]hedgeDenial)
}

// SetConfirmed sets whether the configuration that admits requests is known to be in force. A second call
// is not sent without, because the key of its caller may have been revoked.
func (m *Machine) SetConfirmed(confirmed bool) { m.unconfirmed = !confirmed }

// Revoke lets requests whose admission no longer holds have no second call from now on: the key of the caller is
// revoked, or the route has changed. Their running calls go on.
func (m *Machine) Revoke(holds func(r *Request) bool) {
	if !m.hedging {
		return
	}
	for _, s := range m.requests {
		if !s.hedge.revoked && !holds(&s.Request) {
			s.hedge.revoked = true
			m.withdrawHedge(s)
		}
	}
}

// mayHedge reports whether a request may have a second call at all.
func (m *Machine) mayHedge(s *requestState) bool {
	return m.hedging && s.Route.MayRepeat() && s.Route.MaxServers > 1 && !s.Keyed && !s.hedge.revoked && !m.gate.Suspected(s.Parts)
}

// planHedge notes when the first call of a request counts as slow.
func (m *Machine) planHedge(now time.Time, s *requestState, d *schedule.Decision) {
	if s.sends != 1 || !m.mayHedge(s) {
		return
	}
	times := hedge.Times{Slow: d.HedgeAfter, Typical: d.HedgeTypical}
	if at, ok := hedge.DueAt(now, times, s.answerDeadline()); ok {
		s.hedge.dueAt, s.hedge.typical = at, d.HedgeTypical
	}
}

// answerDeadline returns the time until which a first answer is of use to the caller.
func (s *requestState) answerDeadline() time.Time {
	if p := s.Route.Patience; p > 0 && s.Arrived.Add(p).Before(s.Deadline) {
		return s.Arrived.Add(p)
	}
	return s.Deadline
}

// considerHedge asks for a second server if the first call has become slow.
func (m *Machine) considerHedge(now time.Time, s *requestState) {
	if s.hedge.dueAt.IsZero() || now.Before(s.hedge.dueAt) {
		return
	}
	s.hedge.dueAt = time.Time{}
	obstacle := m.hedgeObstacle(now, s)
	if d, ok := m.hedgeDenials[s.Service]; ok && obstacle == "" && now.Before(d.until) {
		obstacle = d.reason.String()
	}
	if obstacle != "" {
		m.denyHedge(now, s, obstacle)
		return
	}
	s.hedge.asked = true
	s.hedge.asks++
	w := s.schedulingRequest()
	w.ID, w.Hedge, w.FreeSlots = s.ID.Hedge(), true, m.hedgeFreeSlots
	m.emit(RequestServer{Request: w})
}

// hedgeObstacle returns why a slow request must not have a second call now, or an empty text.
func (m *Machine) hedgeObstacle(now time.Time, s *requestState) string {
	switch {
	case m.unconfirmed:
		return "unconfirmed"
	case !m.mayHedge(s):
		return "not eligible"
	case !hedge.Helps(now, s.hedge.typical, s.answerDeadline()):
		return "time"
	case !m.budget.MayHedge(now, s.Service):
		return "budget"
	}
	return ""
}

// denyHedge reports why a slow request has no second call.
func (m *Machine) denyHedge(now time.Time, s *requestState, reason string) {
	c := s.running[0]
	m.emit(HedgeDenied{ID: s.ID, Server: c.server, Reason: reason, Ran: now.Sub(c.sentAt)})
}

// handleHedgeDecision starts the second call of a request if it is still wanted. Nothing was charged to the
// team for it, so that there is nothing to refund.
func (m *Machine) handleHedgeDecision(now time.Time, d *schedule.Decision, alone bool) {
	s := m.requests[d.ID.First()]
	wanted := s != nil && s.hedge.asked
	if wanted {
		s.hedge.asked = false
	}
	switch {
	case !wanted && d.Denied:
		return
	case wanted && d.Denied:
		m.handleHedgeDenial(now, s, d.Reason)
		return
	case wanted:
		obstacle := m.hedgeObstacle(now, s)
		if bar, ok := m.bars.Lookup(now, d.Server.ID, d.Server.Incarnation); ok {
			m.emit(Returned{ID: s.ID, Server: d.Server.ID, Leaving: bar.Leaving, For: max(bar.Until.Sub(now), 0)})
			obstacle = "server held"
		}
		if obstacle == "" && m.budget.TakeHedge(now, s.Service) {
			m.startCall(now, s, d, alone)
			return
		}
		m.denyHedge(now, s, cmp.Or(obstacle, "budget"))
	}
	m.emit(Report{schedule.Report{ID: d.ID, Server: d.Server.ID, Outcome: schedule.Unused}})
}

// handleHedgeDenial lets the first call go on alone. If too little is known yet, the request asks again later.
func (m *Machine) handleHedgeDenial(now time.Time, s *requestState, reason schedule.Reason) {
	switch reason {
	case schedule.DeniedHedgeUnknown:
		if s.hedge.asks < maxHedgeAsks {
			s.hedge.dueAt = now.Add(s.hedge.typical / 2 << (s.hedge.asks - 1))
			return
		}
	case schedule.DeniedHedgeSlow, schedule.DeniedHedgeSlots, schedule.DeniedHedgeWaiting:
		m.hedgeDenials[s.Service] = hedgeDenial{reason: reason, until: now.Add(hedgePause)}
	default:
	}
	m.denyHedge(now, s, reason.String())
}

// withdrawHedge ends the wait for a second call.
func (m *Machine) withdrawHedge(s *requestState) {
	s.hedge.dueAt = time.Time{}
	if s.hedge.asked {
		s.hedge.asked = false
		m.emit(Withdraw{ID: s.ID.Hedge()})
	}
}

// ranWithoutAnswer returns for how long a call that is cancelled has run, if its answer has not begun. The
// learned times would otherwise leave out the slowest calls, because these are the ones that lose.
func (m *Machine) ranWithoutAnswer(now time.Time, s *requestState, c call) time.Duration {
	if !m.hedging || s.phase == streaming {
		return 0
	}
	return now.Sub(c.sentAt)
}
