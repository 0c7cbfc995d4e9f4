package fleet

import (
	"time"

	"briaryard/internal/model"
)

const (
	// scanLimit is the number of open servers up to which all are compared. Above it a
	// random sample bounds the cost of a decision.
	scanLimit = 16
	// sampleSize is the number of servers compared beyond scanLimit.
	sampleSize = 8
	// maxAffine bounds the prefix holders compared in addition to a sample.
	maxAffine = 4
	// nearEqual is the relative difference of scores below which the choice is random, so
	// that stale knowledge does not send many requests to one server.
	nearEqual = 1.1
	// suspicion is how long urgent work avoids a server that may be slow. Other work teaches
	// its speed in that time.
	suspicion = 3 * time.Second
)

// Estimate is the expected course of a request on a server.
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

type candidate struct {
	server   *server
	estimate Estimate
	score    float64
}

// Choose returns the server with room that is expected to answer first, and whether it is
// expected to end within the limit. It returns false in found when no server
// that works has room.
func (f *Fleet) Choose(now time.Time, d *model.Descriptor, domain model.FailureDomain, output float64, limit time.Duration) (e Estimate, inTime, found bool) {
	f.collect(now, d, domain, output)
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
	chosen := f.spread(best, inTime, limit)
	return chosen.estimate, inTime, true
}

// spread makes two random choices among the candidates about as good as the best one and
// keeps the less used server.
func (f *Fleet) spread(best int, inTime bool, limit time.Duration) candidate {
	bound := f.candidates[best].score * nearEqual
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

func (f *Fleet) collect(now time.Time, d *model.Descriptor, domain model.FailureDomain, output float64) {
	f.candidates = f.candidates[:0]
	if len(f.open) <= scanLimit {
		for _, s := range f.open {
			f.consider(now, s, d, domain, output)
		}
		return
	}
	for range sampleSize {
		f.consider(now, f.open[f.random.IntN(len(f.open))], d, domain, output)
	}
	affine := 0
	for i := len(d.Prefix) - 1; i >= 0 && affine < maxAffine; i-- {
		for _, e := range f.prefixes.holders[d.Prefix[i]] {
			if e.server.open >= 0 && affine < maxAffine {
				affine++
				f.consider(now, e.server, d, domain, output)
			}
		}
	}
}

func (f *Fleet) consider(now time.Time, s *server, d *model.Descriptor, domain model.FailureDomain, output float64) {
	if now.Before(s.paused) || d.Tier == model.Urgent && f.maybeSlow(now, s) {
		return
	}
	e := estimate(now, s, d, domain, output)
	score := (e.FirstToken + e.End).Seconds() / 2
	if s.plain() {
		score = float64(s.inFlight+1) / float64(s.window())
	}
	f.candidates = append(f.candidates, candidate{server: s, estimate: e, score: score})
}

// maybeSlow reports whether an earlier dispatcher had far less work on a server than on the
// others, as on an engine that it had found slow. A new dispatcher knows no speeds, and an
// urgent prompt on such an engine waited over a second.
func (f *Fleet) maybeSlow(now time.Time, s *server) bool {
	return f.resumed > 0 && now.Sub(f.resumedAt) < suspicion && !s.speed.known() && 2*s.resumed*f.usable < f.resumed
}

func estimate(now time.Time, s *server, d *model.Descriptor, domain model.FailureDomain, output float64) Estimate {
	e := Estimate{Server: s.record.ID, Incarnation: s.record.Incarnation, InFlight: s.inFlight, Window: s.window()}
	if s.plain() {
		return e
	}
	e.Saved = saved(s, d)
	first := (s.queued(now) + float64(d.PromptTokens-e.Saved)) * s.prefillCost()
	first += firstTokenBase.Seconds()
	if !s.hasAdapter(d.Adapter) {
		first += adapterLoad
	}
	if domain != "" && domain != s.record.Domain {
		first += domainCrossing
	}
	end := first + output*s.unitCost()*s.concurrency(s.inFlight+1)
	e.FirstToken = time.Duration(first * float64(time.Second))
	e.End = time.Duration(end * float64(time.Second))
	return e
}

// Least returns the shortest time in which the fastest known generation could answer with
// an idle server. The whole prompt counts as cached if the descriptor has prefixes. It is
// zero while nothing is known.
func (f *Fleet) Least(d *model.Descriptor, output float64) time.Duration {
	least := -1.0
	for _, g := range f.generations {
		if g.idle == 0 || g.unitSamples == 0 && !g.known() {
			continue
		}
		prompt := d.PromptTokens
		if n := len(d.Prefix); n > 0 {
			prompt = max(prompt-model.PrefixTokens(n-1), 1)
		}
		t := output * g.unit * g.idle
		if g.known() {
			t += float64(prompt) * g.prefill
		}
		if least < 0 || t < least {
			least = t
		}
	}
	return time.Duration(max(least, 0) * float64(time.Second))
}
