package rollout

import (
	"math"
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// slowRatio is the ratio to the old version's time on the same route and size above which an answer counts
	// as slow. A bad version is several times slower, also on a server of more than the usual speed; good answers
	// that exceed it are as frequent with the old version, whose share of them is the measure.
	slowRatio = 2.0
	// staleRatio applies instead once a reference is older than staleAfter: the target then has all requests, and its
	// times are no longer compared with those of the same moment.
	staleRatio = 3.0
	staleAfter = 1500 * time.Millisecond
	// slowMargin is added to the ratio, because short times vary by the network alone.
	slowMargin = 10 * time.Millisecond
	// referenceWeight is the weight of a new time in a reference, and minReference the number of times that one
	// needs: about the latest 64 answers of a route and size.
	referenceWeight = 1.0 / 64
	minReference    = 4
	// rateWeight is the weight of a new answer in the old version's share of bad answers.
	rateWeight = 1.0 / 256
	// The test compares two shares of bad answers: that of a good version, which is the old version's with a
	// margin, and that of a bad one. minGoodShare allows for a few failures of servers that crash or restart.
	goodFactor, goodMargin, maxGoodShare = 1.3, 0.025, 0.3
	badFactor, minBadShare, maxBadShare  = 2.5, 0.2, 0.9
	// rejectAt is the logarithm of the likelihood ratio at which a version is bad: five bad answers in a row, or
	// about twenty answers of which every third is bad. A good version passes it about once in a million answers
	// in the model of the tests.
	rejectAt = 7.0
	// Answers are counted in batches of batchTime, because those to requests of the same moment arrive in the order
	// of their times. Evidence of clearAt does not wait for the end of the batch.
	batchTime = 250 * time.Millisecond
	clearAt   = 2.5 * rejectAt
	// suspectAt is the value from which the share is not raised.
	suspectAt = rejectAt / 2
	// acceptAt is the sum over all answers up to which a version may be trusted, and routeAcceptAt that over the
	// answers of each route: more good answers than one bad one outweighs.
	acceptAt, routeAcceptAt = -1.0, 1.0
	// serverBad is how many more bad answers of one server count in a window than of any other: the crash of one
	// server loses all that it runs and does not make its version bad. The window is the part windowShare of Limits.RollbackWithin, so
	// that a bad version with a single server is found in time.
	serverBad   = 2
	windowShare = 0.4
	// maxCells bounds the references and the tests by route.
	maxCells = 4096
	// holdFactor is the ratio to the old version's time to a first event for which a failure of the target is held
	// back. Failures arrive before the good answers to requests of the same moment: when the share rises, the first
	// answers are all failures. maxHold and maxHeld bound the time and the number.
	holdFactor = 1.5
	maxHold    = 300 * time.Millisecond
	maxHeld    = 256
)

// heldSample is a failure of the target that counts from a time on.
type heldSample struct {
	due    time.Time
	sample Sample
}

// cellKey identifies requests whose times are compared.
type cellKey struct {
	route uint16
	size  uint8
}

// reference is the moving average of the old version's times of a cell.
type reference struct {
	value   time.Duration
	count   int
	updated time.Time
}

func (r *reference) add(now time.Time, t time.Duration) {
	r.count++
	r.updated = now
	if r.count <= 1/referenceWeight {
		r.value += (t - r.value) / time.Duration(r.count)
		return
	}
	r.value += time.Duration(float64(t-r.value) * referenceWeight)
}

// exceeded reports whether a time is several times longer than the reference.
func (r *reference) exceeded(now time.Time, t time.Duration) bool {
	if r == nil || r.count < minReference {
		return false
	}
	ratio := slowRatio
	if now.Sub(r.updated) > staleAfter {
		ratio = staleRatio
	}
	return t > time.Duration(ratio*float64(r.value))+slowMargin
}

// serverCount counts the bad answers of a server in a window.
type serverCount struct {
	since time.Time
	bad   int
}

// evidence holds what is known about the answers of both versions.
type evidence struct {
	// window is the time in which the bad answers of a server are counted.
	window          time.Duration
	first, perEvent map[cellKey]*reference
	// oldShare is the moving average of the old version's bad answers.
	oldShare float64
	// total and routes are the tests over all routes and by route. batchAt is when the current batch began.
	total   test
	routes  map[uint16]*test
	batchAt time.Time
	// servers counts the bad answers of the target's servers.
	servers map[model.BackendServerID]*serverCount
	// held lists the failures that are held back.
	held                             []heldSample
	answers, bad, oldAnswers, oldBad int
}

func newEvidence(l Limits) evidence {
	return evidence{
		window: time.Duration(windowShare * float64(l.RollbackWithin)),
		first:  make(map[cellKey]*reference), perEvent: make(map[cellKey]*reference), routes: make(map[uint16]*test),
		servers: make(map[model.BackendServerID]*serverCount),
	}
}

// add takes a sample other than Granted.
func (e *evidence) add(now time.Time, s *Sample) {
	key := cellKey{s.Route, s.Size}
	slow := s.First > 0 && e.first[key].exceeded(now, s.First) || s.PerEvent > 0 && e.perEvent[key].exceeded(now, s.PerEvent)
	if s.Kind == Unanswered && !slow {
		// The caller left or its time ended, which says nothing of the server.
		return
	}
	bad := s.Kind == Failed || slow
	if !s.Target {
		e.addOld(now, s, key, bad)
		return
	}
	if s.Kind == Failed && len(e.held) < maxHeld {
		hold := maxHold
		if r := e.first[key]; r != nil {
			hold = min(time.Duration(holdFactor*float64(r.value)), maxHold)
		}
		e.held = append(e.held, heldSample{now.Add(hold), *s})
		return
	}
	e.addTarget(now, s, bad)
}

// releaseHeld counts the failures that have been held back for long enough.
func (e *evidence) releaseHeld(now time.Time) {
	e.held = slices.DeleteFunc(e.held, func(h heldSample) bool {
		if now.Before(h.due) {
			return false
		}
		e.addTarget(now, &h.sample, true)
		return true
	})
}

// addTarget takes a sample of the target.
func (e *evidence) addTarget(now time.Time, s *Sample, bad bool) {
	e.answers++
	if bad {
		e.bad++
		if !e.counts(now, s.Server) {
			return
		}
	}
	ratio := e.logRatio(bad)
	e.total.add(ratio)
	r := e.routes[s.Route]
	if r == nil {
		if len(e.routes) >= maxCells {
			return
		}
		r = &test{}
		e.routes[s.Route] = r
	}
	r.add(ratio)
}

// closeBatch ends the current batch if its time is over.
func (e *evidence) closeBatch(now time.Time) {
	if now.Sub(e.batchAt) < batchTime {
		return
	}
	e.batchAt = now
	e.total.close()
	for _, r := range e.routes {
		r.close()
	}
}

// addOld takes a sample of the old version.
func (e *evidence) addOld(now time.Time, s *Sample, key cellKey, bad bool) {
	e.oldAnswers++
	share := 0.0
	if bad {
		e.oldBad++
		share = 1
	}
	e.oldShare += (share - e.oldShare) * max(rateWeight, 1/float64(e.oldAnswers+16))
	if s.Kind == Failed || s.Kind == Unanswered {
		return
	}
	if s.First > 0 {
		addTime(now, e.first, key, s.First)
	}
	if s.PerEvent > 0 {
		addTime(now, e.perEvent, key, s.PerEvent)
	}
}

func addTime(now time.Time, cells map[cellKey]*reference, key cellKey, t time.Duration) {
	r := cells[key]
	if r == nil {
		if len(cells) >= maxCells {
			return
		}
		r = &reference{}
		cells[key] = r
	}
	r.add(now, t)
}

// counts reports whether a bad answer of a server counts, and counts it.
func (e *evidence) counts(now time.Time, id model.BackendServerID) bool {
	c := e.servers[id]
	if c == nil {
		if len(e.servers) >= maxCells {
			return true
		}
		c = &serverCount{since: now}
		e.servers[id] = c
	}
	if now.Sub(c.since) >= e.window {
		c.since, c.bad = now, 0
	}
	others := 0
	for other, o := range e.servers {
		if other != id && now.Sub(o.since) < e.window {
			others = max(others, o.bad)
		}
	}
	c.bad++
	return c.bad <= others+serverBad
}

// logRatio returns the logarithm of the likelihood ratio of one answer.
func (e *evidence) logRatio(bad bool) float64 {
	good := min(goodFactor*e.oldShare+goodMargin, maxGoodShare)
	broken := min(max(badFactor*good, minBadShare), maxBadShare)
	if bad {
		return math.Log(broken / good)
	}
	return math.Log((1 - broken) / (1 - good))
}

// badOnARoute reports whether the target is bad on one route.
func (e *evidence) badOnARoute() bool {
	for _, r := range e.routes {
		if r.rejects() {
			return true
		}
	}
	return false
}

// against returns the evidence against the target over all routes, for the next leader. Failures that are held back
// count half: the good answers of the same moment are not known.
func (e *evidence) against() float64 {
	return max(e.total.sum+e.total.batch, 0) + float64(len(e.held))/2*e.logRatio(true)
}

// suspicious reports whether the share must not be raised.
func (e *evidence) suspicious() bool {
	if e.total.suspicious() {
		return true
	}
	for _, r := range e.routes {
		if r.suspicious() {
			return true
		}
	}
	return false
}

// acceptable reports whether the answers so far speak for the target. Without a bad answer a few are enough.
func (e *evidence) acceptable() bool {
	if e.bad > 0 && e.total.all > acceptAt {
		return false
	}
	for _, r := range e.routes {
		if r.all > routeAcceptAt {
			return false
		}
	}
	return true
}

// test is the sum of the logarithms of the likelihood ratio of the answers, not below zero, up to the current batch,
// and that of the batch. It forgets what was good long ago, so that a version that turns bad later is found as fast.
// all forgets nothing.
type test struct{ sum, batch, all float64 }

func (t *test) add(ratio float64) {
	t.batch += ratio
	t.all += ratio
}

func (t *test) close() { t.sum, t.batch = max(t.sum+t.batch, 0), 0 }

func (t *test) rejects() bool { return t.sum >= rejectAt || t.sum+t.batch >= clearAt }

func (t *test) suspicious() bool { return max(t.sum, t.sum+t.batch) >= suspectAt }
