package schedule

import (
	"math"
	"slices"
	"time"

	"briaryard/internal/model"
)

// decide makes every grant and denial that the state of a service allows.
func (s *Scheduler) decide(now time.Time, v *service) {
	s.book.Expire(now)
	s.expire(now, v)
	s.denyWithoutServer(now, v)
	if !v.anyWaiting() {
		// Most reports find an empty queue. Their cost must not grow with the number of servers.
		return
	}
	v.updateSuspects(now)
	v.updateOutlook(now)
	c := v.candidates(now)
	for s.grantNext(now, v, c) {
	}
}

// anyWaiting reports whether a request of any rank waits.
func (v *service) anyWaiting() bool {
	return slices.ContainsFunc(v.ranks, func(r *rank) bool { return r.len() > 0 })
}

// expire moves requests that have become late to the late group. It denies expired requests, and newly
// late ones that are not expected to get a server before they expire: their callers still have time to
// retry.
func (s *Scheduler) expire(now time.Time, v *service) {
	for _, r := range v.ranks {
		late, expired := r.expire(now)
		for _, q := range expired {
			s.denyWaiting(now, v, q, DeniedTime)
		}
		for _, q := range late {
			r.remove(q)
			switch {
			case !s.canStart(now, v, q):
				s.denyWaiting(now, v, q, DeniedQueue)
			default:
				s.stopWaiting(q)
				if !s.refuseLate(now, v, q) {
					s.startWaiting(q)
					r.add(q)
				}
			}
		}
	}
}

// denyWaiting denies a request that has already been removed from its rank.
func (s *Scheduler) denyWaiting(now time.Time, v *service, q *queuedRequest, reason Reason) {
	s.stopWaiting(q)
	s.denyForTime(now, v, q, reason)
}

// denyWithoutServer denies all waiting requests of a service that has had no usable server for
// noServerWait.
func (s *Scheduler) denyWithoutServer(now time.Time, v *service) {
	if slices.ContainsFunc(v.servers, func(b *server) bool { return b.usable(now) }) {
		v.noServerSince = time.Time{}
		return
	}
	if v.noServerSince.IsZero() {
		v.noServerSince = now
	}
	if now.Sub(v.noServerSince) < noServerWait {
		return
	}
	for _, r := range v.ranks {
		for r.len() > 0 {
			q := r.first()
			s.dequeue(q)
			s.refund(now, &q.Request)
			s.deny(now, v, &q.Request, DeniedNoServer, noServerWait)
		}
	}
}

// grantNext grants the first request in the order for which a suitable server has room, and reports
// whether there was one. Less urgent ranks do not use the slots reserved for more urgent ones, unless they are
// underserved.
func (s *Scheduler) grantNext(now time.Time, v *service, c *candidates) bool {
	if len(c.servers) == 0 || s.options.Share < 1 && !v.partitioned && v.running >= int(s.usableSlots(now, v))+1 {
		return false
	}
	if s.grantUnderserved(now, v, c) {
		return true
	}
	for index, r := range v.ranks {
		if longest := v.outlook.LongestHold(index, c.freeSlots); r.len() > 0 && longest > 0 && s.grantAdmitted(now, v, c, r, longest) {
			return true
		}
	}
	return false
}

// grantFrom grants the first admitted request of a rank for which a suitable server has room, and reports whether
// there was one.
func (s *Scheduler) grantFrom(now time.Time, v *service, c *candidates, r *rank, admitted func(*queuedRequest) bool) bool {
	return r.find(
		func(q *queuedRequest) bool { return admitted(q) && v.canFinish(now, q, c) },
		func(q *queuedRequest) bool {
			b := v.choose(now, q, c)
			if b != nil {
				s.grant(now, v, q, b)
				c.takeSlot(now, b)
			}
			return b != nil
		})
}

// updateSuspects marks servers with an overdue call as suspect, at most once in suspectInterval.
func (v *service) updateSuspects(now time.Time) {
	if now.Sub(v.suspectsChecked) < suspectInterval {
		return
	}
	v.suspectsChecked = now
	for _, b := range v.servers {
		b.suspect = b.hasOverdueCall(now)
	}
}

// candidates holds the servers that have a free slot and are not suspect.
type candidates struct {
	servers []*server
	// freeSlots counts the free slots of servers, and totalSlots all slots of all usable servers.
	freeSlots, totalSlots int
	// minDecode is the shortest time per event among servers.
	minDecode time.Duration
}

// candidates collects the servers that can be granted a request now.
func (v *service) candidates(now time.Time) *candidates {
	c := &candidates{servers: make([]*server, 0, len(v.servers))}
	total := 0.0
	for i := range v.servers {
		// The start rotates, so that servers of equal cost take turns.
		b := v.servers[(v.nextServer+i)%len(v.servers)]
		if !b.usable(now) {
			continue
		}
		free := b.freeSlots(now)
		if free > 0 && !b.suspect {
			c.servers = append(c.servers, b)
		}
		if b.limited {
			// The slots of a version on trial are not free for most requests.
			continue
		}
		total += b.effectiveSlots(now, v.meanRequestTime())
		if free > 0 && !b.suspect {
			c.freeSlots += free
		}
	}
	c.totalSlots = int(math.Ceil(total))
	c.updateMinDecode()
	return c
}

// updateMinDecode recomputes minDecode.
func (c *candidates) updateMinDecode() {
	c.minDecode = 0
	for i, b := range c.servers {
		if i == 0 || b.decode < c.minDecode {
			c.minDecode = b.decode
		}
	}
}

// takeSlot accounts for a grant to a server. It moves the server to the end of the list, or removes
// it if it has no slot left.
func (c *candidates) takeSlot(now time.Time, b *server) {
	if !b.limited {
		c.freeSlots--
	}
	at := slices.Index(c.servers, b)
	c.servers = slices.Delete(c.servers, at, at+1)
	if b.freeSlots(now) > 0 {
		c.servers = append(c.servers, b)
		return
	}
	c.updateMinDecode()
}

const (
	// endMargin is the factor by which an answer may exceed its expected length: callers' estimates
	// are right at the median and off by a factor of two for one in ten.
	endMargin = 2.0
	// overrunWeight is the cost of an expected overrun of the request's deadline, as a ratio of the
	// overrun.
	overrunWeight = 0.5
	// likelyMargin is the ratio to the expected length that an answer must have time for. Four in five
	// answers are shorter; an answer that is cut off at its deadline has wasted its slot.
	likelyMargin = 1.5
	// reservedFastSlots is the number of slots of each fast server that are reserved for requests
	// which an average server may not finish in time. Other requests use them only if the other
	// servers cost more by reservedFastCost.
	reservedFastSlots = 2
	reservedFastCost  = 150 * time.Millisecond
	// maxCompared is the number of servers with room that are compared for one grant. A large fleet with
	// many free servers loses little by it, since the start rotates; the time of a decision is bounded.
	maxCompared = 192
	// fastRatio is the ratio to the mean time per event below which a server counts as fast.
	fastRatio = 0.7
)

// halfFree reports whether at least half of the slots are free. A request is then granted even if no
// server is expected to finish it in time.
func (c *candidates) halfFree() bool { return 2*c.freeSlots >= c.totalSlots }

// canFinish reports whether the fastest candidate is expected to finish a request in time. It is always
// true for plain services and while half of the slots are free.
func (v *service) canFinish(now time.Time, q *queuedRequest, c *candidates) bool {
	if v.engine == nil || c.halfFree() {
		return true
	}
	return time.Duration(q.likely*float64(c.minDecode)) <= q.Deadline.Sub(now)
}

// choose returns the candidate with the lowest cost that has room for the request and is expected to
// answer in time, or nil.
func (v *service) choose(now time.Time, q *queuedRequest, c *candidates) *server {
	var best *server
	var bestCost time.Duration
	meanDecode := v.currentStats(now).decode
	remaining := q.Deadline.Sub(now)
	// A request is long if an average server may not finish it in time.
	long := v.engine != nil && time.Duration(endMargin*q.events*float64(meanDecode)) > remaining
	// A request that the fastest server can start on time waits for a server that can.
	onTimeOnly := v.engine != nil && !q.late && !now.Add(firstEventBase+time.Duration(q.Prompt)*v.currentStats(now).minPrefill).After(q.StartTarget)
	compared := 0
	for _, b := range c.servers {
		if compared == maxCompared {
			break
		}
		if b.isHeldFor(now, q.ID.Instance) || !b.hasRoom(&q.Request) || slices.Contains(q.Tried, b.record.ID) || !serves(&b.record, q.Model) || v.leavesLimit(now, q, b) || v.excludes(q, b) {
			continue
		}
		compared++
		firstEvent := b.estimateFirstEvent(&q.Request)
		if onTimeOnly && now.Add(firstEvent).After(q.StartTarget) {
			continue
		}
		if v.engine != nil && firstEvent+b.estimateRest(q.likely) > remaining && !c.halfFree() {
			continue
		}
		cost := b.cost(&q.Request, q.events) + v.limitCost(now, q, b) + v.versionCost(b)
		if long {
			cost += time.Duration(overrunWeight * float64(max(firstEvent+b.estimateRest(endMargin*q.events)-remaining, 0)))
		} else if v.engine != nil && b.slots()-len(b.granted) <= reservedFastSlots && float64(b.decode) < fastRatio*float64(meanDecode) {
			cost += reservedFastCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = b, cost
		}
	}
	return best
}

// serves reports whether a server has the model of a request. A request without a model fits every
// server, and a server without a list of models has all of them.
func serves(r *model.BackendServer, modelName string) bool {
	return modelName == "" || len(r.Models) == 0 || slices.Contains(r.Models, modelName)
}

// grant assigns a waiting request to a server and records the decision.
func (s *Scheduler) grant(now time.Time, v *service, q *queuedRequest, b *server) {
	s.dequeue(q)
	s.assign(now, v, q, b)
	r := v.rank(q.Rank)
	r.sizeClasses.recordGrant(q.sizeClass, q.work)
	r.promptClasses.recordGrant(q.promptClass, q.work)
	v.recordGrant(r)
}

// assign records the grant of a request to a server.
func (s *Scheduler) assign(now time.Time, v *service, q *queuedRequest, b *server) {
	v.nextServer++
	estimate := b.estimateFirstEvent(&q.Request)
	in := Inputs{
		Waited: now.Sub(q.Arrived), Waiting: len(s.waiting), Running: len(b.granted), Pending: b.pendingPrompt, Estimate: estimate,
		Returned: q.returned,
	}
	in.Reserved = v.outlook.Reserve(slices.Index(v.ranks, v.rank(q.Rank)), q.work)
	if b.isLimited(now) {
		in.Limit = b.limit.perSecond
	}
	if !b.lastProgress.IsZero() {
		in.Age = now.Sub(b.lastProgress)
	}
	b.limit.take(now)
	w := Work{
		ID: q.ID, Service: v.id, Server: b.record.ID, Team: q.Team, Rank: q.Rank, Prompt: q.Prompt, Output: q.Output, Expected: q.Expected,
		Route: q.Route, HedgeRoute: q.HedgeRoute,
	}
	rest := b.estimateRest(q.events)
	b.addWork(now, w, estimate, rest)
	v.outlook.AddRunning(estimate + rest)
	s.granted[q.ID] = b
	v.running++
	v.rank(q.Rank).running++
	s.recordVersion(v, q, b)
	d := Decision{ID: q.ID, Server: b.record, Inputs: in}
	s.HedgeTimes(now, &q.Request, &d)
	s.hedgeSent(now, v, &w)
	s.decisions = append(s.decisions, d)
}
