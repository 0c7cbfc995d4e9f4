package fleet

import (
	"time"

	"briaryard/internal/model"
)

const (
	// scanLimit is the number of accepting servers up to which all are compared. Above it, a
	// random sample bounds the cost of a decision.
	scanLimit = 16
	// sampleSize is the number of servers sampled above scanLimit.
	sampleSize = 8
	// maxPrefixHolders bounds the servers with a cached prefix that are compared in addition to
	// a sample.
	maxPrefixHolders = 4
	// scoreTolerance is the ratio to the best score up to which the choice is random, so that
	// stale state does not send many requests to one server.
	scoreTolerance = 1.1
	// slowSuspicion is how long urgent requests avoid a server that may be slow. Other requests
	// measure its speed in that time.
	slowSuspicion = 3 * time.Second
)

// Estimate is the predicted performance of a request on a server, with the server's load.
type Estimate struct {
	Server      model.BackendServerID
	Incarnation model.Incarnation
	FirstToken  time.Duration
	End         time.Duration
	// Saved is the number of prompt tokens expected in the server's cache.
	Saved    int
	InFlight int
	Window   int
}

// candidate is a server that Choose compares; the lowest score is the best.
type candidate struct {
	server   *server
	estimate Estimate
	score    float64
}

// Choose returns the accepting server that is expected to answer first, and whether the request
// is expected to end within the limit. found is false if no accepting server may take it.
func (f *Fleet) Choose(now time.Time, d *model.Descriptor, domain model.FailureDomain, output float64, limit time.Duration) (e Estimate, inTime, found bool) {
	f.collectCandidates(now, d, domain, output)
	if len(f.candidates) == 0 {
		return Estimate{}, false, false
	}
	best := -1
	for i := range f.candidates {
		c := &f.candidates[i]
		fits := c.estimate.End <= limit
		switch {
		case best < 0, fits && !inTime:
			best, inTime = i, fits
		case fits == inTime && c.score < f.candidates[best].score:
			best = i
		}
	}
	chosen := f.chooseNearBest(best, inTime, limit)
	return chosen.estimate, inTime, true
}

// chooseNearBest draws two random candidates, with replacement, from those whose score is
// close to the best one, and returns the one with the lower utilization.
func (f *Fleet) chooseNearBest(best int, inTime bool, limit time.Duration) candidate {
	bound := f.candidates[best].score * scoreTolerance
	n := 0
	for _, c := range f.candidates {
		if c.score <= bound && (!inTime || c.estimate.End <= limit) {
			f.candidates[n] = c
			n++
		}
	}
	a, b := f.candidates[f.random.IntN(n)], f.candidates[f.random.IntN(n)]
	if b.server.inFlight*a.server.window() < a.server.inFlight*b.server.window() {
		return b
	}
	return a
}

// collectCandidates estimates the request on all accepting servers, or on a sample of them and
// some that hold one of its prefixes.
func (f *Fleet) collectCandidates(now time.Time, d *model.Descriptor, domain model.FailureDomain, output float64) {
	f.candidates = f.candidates[:0]
	if len(f.accepting) <= scanLimit {
		for _, s := range f.accepting {
			f.addCandidate(now, s, d, domain, output)
		}
		return
	}
	for range sampleSize {
		f.addCandidate(now, f.accepting[f.random.IntN(len(f.accepting))], d, domain, output)
	}
	added := 0
	for i := len(d.Prefix) - 1; i >= 0 && added < maxPrefixHolders; i-- {
		for _, e := range f.prefixes.holders[d.Prefix[i]] {
			if e.server.acceptingIndex >= 0 && added < maxPrefixHolders {
				added++
				f.addCandidate(now, e.server, d, domain, output)
			}
		}
	}
}

// addCandidate adds a server unless it is paused or, for an urgent request, may be slow.
func (f *Fleet) addCandidate(now time.Time, s *server, d *model.Descriptor, domain model.FailureDomain, output float64) {
	if now.Before(s.pausedUntil) || d.Tier == model.Urgent && f.suspectedSlow(now, s) {
		return
	}
	e := estimate(now, s, d, domain, output)
	score := (e.FirstToken + e.End).Seconds() / 2
	if s.isPlain() {
		score = float64(s.inFlight+1) / float64(s.window())
	}
	f.candidates = append(f.candidates, candidate{server: s, estimate: e, score: score})
}

// suspectedSlow reports whether an earlier dispatcher had far less work on a server than on the
// others, as on an engine that it had found to be slow. A new dispatcher has no learned speeds,
// and an urgent prompt on such an engine waited over a second.
func (f *Fleet) suspectedSlow(now time.Time, s *server) bool {
	return f.resumed > 0 && now.Sub(f.resumedAt) < slowSuspicion && !s.speed.known() && 2*s.resumed*f.usable < f.resumed
}

// estimate predicts the times of a request on a server. They are zero for a plain server.
func estimate(now time.Time, s *server, d *model.Descriptor, domain model.FailureDomain, output float64) Estimate {
	e := Estimate{Server: s.record.ID, Incarnation: s.record.Incarnation, InFlight: s.inFlight, Window: s.window()}
	if s.isPlain() {
		return e
	}
	e.Saved = cachedTokens(s, d)
	first := (s.queuedTokens(now) + float64(d.PromptTokens-e.Saved)) * s.prefillCost()
	first += firstTokenBase.Seconds()
	if !s.hasAdapter(d.Adapter) {
		first += adapterLoadSeconds
	}
	if domain != "" && domain != s.record.Domain {
		first += crossDomainSeconds
	}
	end := first + output*s.decodeCost()*s.concurrency(s.inFlight+1)
	e.FirstToken = time.Duration(first * float64(time.Second))
	e.End = time.Duration(end * float64(time.Second))
	return e
}

// Least returns the shortest time in which an idle server of the fastest known generation could
// answer. The longest prefix of the descriptor counts as cached. The time is zero while no speed
// is known.
func (f *Fleet) Least(d *model.Descriptor, output float64) time.Duration {
	least := -1.0
	for _, g := range f.generations {
		if g.minConcurrency == 0 || g.decodeSamples == 0 && !g.known() {
			continue
		}
		prompt := d.PromptTokens
		if n := len(d.Prefix); n > 0 {
			prompt = max(prompt-model.PrefixTokens(n-1), 1)
		}
		t := output * g.decode * g.minConcurrency
		if g.known() {
			t += float64(prompt) * g.prefill
		}
		if least < 0 || t < least {
			least = t
		}
	}
	return time.Duration(max(least, 0) * float64(time.Second))
}
