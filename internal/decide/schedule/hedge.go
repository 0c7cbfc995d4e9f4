package schedule

import (
	"slices"
	"time"

	"briaryard/internal/decide/hedge"
	"briaryard/internal/model"
)

// hedgeTimes returns the learned times of a request that may be hedged.
func (s *Scheduler) hedgeTimes(now time.Time, w *Request) hedge.Times {
	if w.HedgeRoute == "" || s.times == nil {
		return hedge.Times{}
	}
	return s.times.Times(now, w.HedgeRoute, w.Prompt)
}

// HedgeTimes sets the learned times of a grant that has none, if this scheduler knows them.
func (s *Scheduler) HedgeTimes(now time.Time, w *Request, d *Decision) {
	if d.HedgeAfter == 0 {
		t := s.hedgeTimes(now, w)
		d.HedgeAfter, d.HedgeTypical = t.Slow, t.Typical
	}
}

// hedgeSent notes that a request which may be hedged is sent to a server.
func (s *Scheduler) hedgeSent(now time.Time, v *service, w *Work) {
	if w.HedgeRoute == "" || w.Started {
		return
	}
	if s.times == nil {
		s.times = hedge.NewLearner()
	}
	if v.peers == nil {
		v.peers = hedge.NewPeers()
	}
	v.peers.Sent(now, w.ID, w.Server, s.times.Times(now, w.HedgeRoute, w.Prompt).Typical)
}

// learnHedgeTime learns from a report about a granted request that may be hedged. It must be called before the
// report is applied.
func (s *Scheduler) learnHedgeTime(now time.Time, w *grantedWork, r *Report) {
	if w.HedgeRoute == "" || w.Started || r.First <= 0 {
		return
	}
	switch r.Outcome {
	case Began, Finished:
		s.times.Record(now, w.HedgeRoute, w.Prompt, r.First)
		s.service(w.Service).peers.Answered(w.ID, r.First)
	case Cancelled:
		s.times.RecordCancelled(now, w.HedgeRoute, w.Prompt, r.First)
	case Failed, Full, Absent, Unused:
	}
}

// decideHedge grants the second call of a hedged request at once, or denies it. It never waits: a request that
// waits needs the slot more. Its team was charged for the request, and is not charged again.
func (s *Scheduler) decideHedge(now time.Time, w *Request) {
	v := s.service(w.Service)
	s.expire(now, v)
	b, reason := s.hedgeServer(now, v, w)
	if b == nil {
		s.deny(now, v, w, reason, 0)
		return
	}
	q := &queuedRequest{Request: *w}
	s.assign(now, v, q, b)
}

// hedgeServer returns the server of the second call of a hedged request, or nil and the reason for its denial.
func (s *Scheduler) hedgeServer(now time.Time, v *service, w *Request) (*server, Reason) {
	first := s.granted[w.ID.First()]
	if first == nil || v.peers == nil || !slices.Contains(w.Tried, first.record.ID) || first.granted[w.ID.First()].Started {
		return nil, DeniedHedgeServer
	}
	if slices.ContainsFunc(v.ranks, func(r *rank) bool { return r.number <= w.Rank && r.len() > 0 }) {
		return nil, DeniedHedgeWaiting
	}
	switch v.peers.Compare(now, first.granted[w.ID.First()].grantedAt, first.record.ID) {
	case hedge.Unknown:
		return nil, DeniedHedgeUnknown
	case hedge.OthersSlow:
		return nil, DeniedHedgeSlow
	case hedge.OthersFast:
	}
	v.updateSuspects(now)
	c := v.candidates(now)
	if !s.leavesFreeSlots(now, v, w, c) {
		return nil, DeniedHedgeSlots
	}
	if b := v.chooseForHedge(now, w, c, first.record.Domain); b != nil {
		return b, 0
	}
	return nil, DeniedHedgeServer
}

// leavesFreeSlots reports whether enough slots are free after the grant of a second call: the share that the
// request names, and those that more urgent ranks are about to need.
func (s *Scheduler) leavesFreeSlots(now time.Time, v *service, w *Request, c *candidates) bool {
	free, total := c.freeSlots-1, c.totalSlots
	if s.options.Share < 1 && !v.partitioned {
		total = int(s.usableSlots(now, v))
		free = min(free, total-v.running-1)
	}
	v.updateOutlook(now)
	reserved := v.outlook.Reserve(slices.Index(v.ranks, v.rank(w.Rank)), v.estimateWork(now, w))
	// A share that is not a number does not pass.
	return free >= 0 && float64(free) >= reserved && float64(free) >= w.FreeSlots*float64(total)
}

// chooseForHedge returns the best server for a second call, in another failure domain than the first one if there is
// one. Servers that have named a limit have asked for fewer requests, and get none.
func (v *service) chooseForHedge(now time.Time, w *Request, c *candidates, firstDomain model.FailureDomain) *server {
	q := &queuedRequest{Request: *w, late: true, firstEvent: v.estimateFirstEvent(now, w), work: v.estimateWork(now, w)}
	q.events, q.likely = v.estimateEvents(w)
	near, far := *c, *c
	near.servers, far.servers = nil, nil
	for _, b := range c.servers {
		switch {
		case b.isLimited(now):
		case b.record.Domain != firstDomain:
			far.servers = append(far.servers, b)
		default:
			near.servers = append(near.servers, b)
		}
	}
	if b := v.choose(now, q, &far); b != nil {
		return b
	}
	return v.choose(now, q, &near)
}
