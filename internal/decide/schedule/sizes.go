package schedule

import "time"

// Shortest-first order serves more callers and starves those with the largest requests when a rank has
// more work than slots. So the share of requests that get a server is measured for the largest tenth of
// a rank and for the fifth below it, and a class that falls behind is ordered by time alone, like the
// shortest requests, until it has caught up.

// classShares are the parts of a rank's requests below each class of large ones.
var classShares = [...]float64{0.7, 0.9}

const (
	// fairShare is the least share of served requests in a class, in parts of that of the whole rank.
	// Callers are promised a half; estimates of sizes are off by a factor of two for one in ten, so
	// that the classes hold many requests of other sizes.
	fairShare = 0.7
	// sizeMemory is the number of arrivals after which an earlier one has lost most of its weight.
	sizeMemory = 400
	// quantileStep is by which part a quantile moves with an arrival.
	quantileStep = 0.05
	// startQuantile is the first guess of the quantiles.
	startQuantile = 200 * time.Millisecond
)

// tally counts arrivals and grants, as averages that forget.
type tally struct{ arrived, served float64 }

func (t *tally) share() float64 { return t.served / max(t.arrived, 1) }

// sizes measures the classes of a rank.
type sizes struct {
	// bounds are the least works of the classes.
	bounds  [len(classShares)]time.Duration
	classes [len(classShares) + 1]tally
	whole   tally
}

func newSizes() sizes {
	return sizes{bounds: [len(classShares)]time.Duration{startQuantile, startQuantile}}
}

// class returns the class of a request by its expected work; 0 is that of small ones.
func (s *sizes) class(work time.Duration) int {
	for c := len(s.bounds); c > 0; c-- {
		if work > s.bounds[c-1] {
			return c
		}
	}
	return 0
}

// arrived counts an arrival.
func (s *sizes) arrived(work time.Duration) {
	for i, share := range classShares {
		step := quantileStep * float64(s.bounds[i])
		if work > s.bounds[i] {
			s.bounds[i] += time.Duration(step * share)
		} else {
			s.bounds[i] -= time.Duration(step * (1 - share))
		}
	}
	for i := range s.classes {
		s.classes[i].forget()
	}
	s.whole.forget()
	s.classes[s.class(work)].arrived++
	s.whole.arrived++
}

func (t *tally) forget() {
	t.arrived -= t.arrived / sizeMemory
	t.served -= t.served / sizeMemory
}

// served counts a grant.
func (s *sizes) served(work time.Duration) {
	s.classes[s.class(work)].served++
	s.whole.served++
}

// starves reports whether requests of this work get a server less often than the rank's others.
func (s *sizes) starves(work time.Duration) bool {
	c := s.class(work)
	return c > 0 && s.classes[c].share() < fairShare*s.whole.share()
}
