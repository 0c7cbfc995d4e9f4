package schedule

import (
	"cmp"
	"slices"
	"time"

	"briaryard/internal/decide/admission"
	"briaryard/internal/model"
)

const (
	// sizePenaltyWeight is the ratio of a request's expected work by which it is moved back in its
	// rank, and maxSizePenalty the limit. Shortest-first order serves more callers under overload;
	// the limit keeps a long request from waiting until it expires.
	sizePenaltyWeight = 1.0
	maxSizePenalty    = 2200 * time.Millisecond
	// returnedLead places a request whose caller keeps an appointment before the other ones of its rank. No
	// request waits that long.
	returnedLead = 10 * time.Minute
)

// queuedRequest is a request in the queue of a service.
type queuedRequest struct {
	Request
	// key orders the requests of a group. expires is when the request leaves the group: when it
	// becomes late, or when a late one is denied.
	key, expires time.Time
	late         bool
	// returned is set if the caller keeps an appointment.
	returned bool
	// work is the expected time that the request takes on a server.
	work time.Duration
	// events is the expected number of events of the answer, and likely the number that most answers
	// do not exceed.
	events, likely float64
	// firstEvent is the shortest expected time from the grant to the first event.
	firstEvent time.Duration
	// likelyFirst is the time from the grant to the first event that most requests do not exceed.
	likelyFirst time.Duration
	// sizeClass and promptClass are the classes of the request by its work and by its prompt.
	sizeClass, promptClass int
	// sizePenalty is how far the request is moved back in its rank.
	sizePenalty time.Duration
}

// queue holds requests sorted by one of their times, then by arrival, then by id.
type queue struct {
	list []*queuedRequest
	time func(*queuedRequest) time.Time
}

// compare orders two requests by the queue's time, then by arrival, then by id.
func (q *queue) compare(a, b *queuedRequest) int {
	if c := q.time(a).Compare(q.time(b)); c != 0 {
		return c
	}
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	return compareIDs(a.ID, b.ID)
}

func compareIDs(a, b model.RequestID) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq))
}

func (q *queue) add(w *queuedRequest) {
	at, _ := slices.BinarySearchFunc(q.list, w, q.compare)
	q.list = slices.Insert(q.list, at, w)
}

func (q *queue) remove(w *queuedRequest) {
	if at, found := slices.BinarySearchFunc(q.list, w, q.compare); found {
		q.list = slices.Delete(q.list, at, at+1)
	}
}

// workBefore returns the expected work of the requests before a request, or of all if it is nil.
func (q *queue) workBefore(w *queuedRequest) time.Duration {
	at := len(q.list)
	if w != nil {
		at, _ = slices.BinarySearchFunc(q.list, w, q.compare)
	}
	var sum time.Duration
	for _, o := range q.list[:at] {
		sum += o.work
	}
	return sum
}

// group holds the on-time or the late requests of a rank, sorted by key and by expires.
type group struct {
	byKey, byExpiry queue
}

func newGroup() group {
	return group{
		byKey:    queue{time: func(w *queuedRequest) time.Time { return w.key }},
		byExpiry: queue{time: func(w *queuedRequest) time.Time { return w.expires }},
	}
}

func (g *group) len() int { return len(g.byKey.list) }

func (g *group) add(w *queuedRequest) {
	g.byKey.add(w)
	g.byExpiry.add(w)
}

func (g *group) remove(w *queuedRequest) {
	g.byKey.remove(w)
	g.byExpiry.remove(w)
}

// popExpired removes and returns the next request that leaves the group, or nil.
func (g *group) popExpired(now time.Time) *queuedRequest {
	if len(g.byExpiry.list) == 0 || now.Before(g.byExpiry.list[0].expires) {
		return nil
	}
	w := g.byExpiry.list[0]
	g.remove(w)
	return w
}

// rank holds the waiting requests of one rank.
type rank struct {
	number       int
	onTime, late group
	// work is the total expected work of the waiting requests.
	work time.Duration
	// arrivals is the work per second of the queued requests, in seconds, load the demand of the queued and the
	// refused ones, and sizeClasses the share of large requests that is served.
	arrivals    decayingRate
	load        admission.Load
	sizeClasses sizeClasses
	// promptClasses is the share of long prompts that is served. They are a part of the work only, but wait for
	// an engine that has read the prompts of the others.
	promptClasses sizeClasses
	// tally counts the arrivals and grants of the rank.
	tally tally
	// running counts the granted requests.
	running int
	// meanWork is the mean expected work of the arrivals.
	meanWork time.Duration
}

func newRank(number int) *rank {
	return &rank{number: number, onTime: newGroup(), late: newGroup(), sizeClasses: newSizeClasses(), promptClasses: newSizeClasses()}
}

// rank returns the rank with a number, which it creates if needed.
func (v *service) rank(number int) *rank {
	at, found := slices.BinarySearchFunc(v.ranks, number, func(r *rank, n int) int { return cmp.Compare(r.number, n) })
	if !found {
		v.ranks = slices.Insert(v.ranks, at, newRank(number))
	}
	return v.ranks[at]
}

func (r *rank) len() int { return r.onTime.len() + r.late.len() }

// setTimes sets the times that order the request in its group.
func (w *queuedRequest) setTimes() {
	w.expires = w.StartTarget.Add(-w.likelyFirst)
	if w.late {
		w.expires = w.StartDeadline
	}
	w.key = w.expires.Add(w.sizePenalty)
	if w.returned {
		w.expires = w.StartDeadline
		w.key = w.Arrived.Add(-returnedLead)
	}
}

// sizePenalty returns how far a request is moved back: in proportion to its size, but not at all in an
// underserved class of large requests.
func (r *rank) sizePenalty(q *queuedRequest) time.Duration {
	if u, _ := r.underservedSizes(); u.has(q) {
		return 0
	}
	return min(time.Duration(sizePenaltyWeight*float64(q.work)), maxSizePenalty)
}

// add adds a request to the on-time or the late group.
func (r *rank) add(w *queuedRequest) {
	r.work += w.work
	w.setTimes()
	if w.late {
		r.late.add(w)
	} else {
		r.onTime.add(w)
	}
}

func (r *rank) remove(w *queuedRequest) {
	r.work -= w.work
	if w.late {
		r.late.remove(w)
	} else {
		r.onTime.remove(w)
	}
}

// expire moves requests that can no longer start on time to the late group and removes expired ones. It
// returns both.
func (r *rank) expire(now time.Time) (late, expired []*queuedRequest) {
	for w := r.onTime.popExpired(now); w != nil; w = r.onTime.popExpired(now) {
		r.work -= w.work
		w.late = true
		r.add(w)
		late = append(late, w)
	}
	for w := r.late.popExpired(now); w != nil; w = r.late.popExpired(now) {
		r.work -= w.work
		expired = append(expired, w)
		late = slices.DeleteFunc(late, func(o *queuedRequest) bool { return o == w })
	}
	return late, expired
}

// first returns the first request in the order, or nil.
func (r *rank) first() *queuedRequest {
	for _, g := range []*group{&r.onTime, &r.late} {
		if list := g.byKey.list; len(list) > 0 {
			return list[0]
		}
	}
	return nil
}

// ahead returns the expected work of the requests of the rank that go before a request.
func (r *rank) ahead(w *queuedRequest) time.Duration {
	if w.late {
		return r.onTime.byKey.workBefore(nil) + r.late.byKey.workBefore(w)
	}
	return r.onTime.byKey.workBefore(w)
}

// find calls tryGrant for the eligible requests in order until one succeeds, and reports whether one
// did. It gives up after lookAhead attempts. A request that waits for a particular server does not
// block the requests behind it.
func (r *rank) find(eligible func(*queuedRequest) bool, tryGrant func(*queuedRequest) bool) bool {
	tries := lookAhead
	for _, g := range []*group{&r.onTime, &r.late} {
		for _, w := range g.byKey.list {
			if !eligible(w) {
				continue
			}
			if tryGrant(w) {
				return true
			}
			if tries--; tries == 0 {
				return false
			}
		}
	}
	return false
}

// decayingRate is a rate per second in which older events lose their weight.
type decayingRate struct {
	rate    float64
	updated time.Time
}

// rateWindow is the time in which an event loses its weight: shorter than a burst of callers, longer
// than the gaps within one.
const rateWindow = 1500 * time.Millisecond

// at returns the rate in units per second.
func (d *decayingRate) at(now time.Time) float64 {
	if !d.updated.IsZero() {
		if age := now.Sub(d.updated); age > 0 {
			d.rate *= max(1-age.Seconds()/rateWindow.Seconds(), 0)
		}
	}
	d.updated = now
	return d.rate
}

// add counts an event of a number of units.
func (d *decayingRate) add(now time.Time, units float64) {
	d.rate = d.at(now) + units/rateWindow.Seconds()
}
