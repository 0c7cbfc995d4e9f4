package schedule

import "time"

// Shortest-first order serves more callers, but starves the largest requests when a rank has more work
// than slots. The share of served requests is therefore tracked for the largest tenth of a rank and for
// the fifth below it, and a class that falls behind is ordered by time alone, like the shortest
// requests, until it has caught up.

// classQuantiles are the quantiles of the sizes of a rank at which each class of large requests begins.
var classQuantiles = [...]float64{0.7, 0.9}

const (
	// minServedRatio is the minimum ratio of the served share of a class to that of the whole rank.
	// Callers are promised a half; the target is higher because estimates of sizes are off by a factor
	// of two for one in ten, so that the classes hold many requests of other sizes.
	minServedRatio = 0.72
	// tallyWindow is the number of arrivals after which an earlier one has lost most of its weight.
	tallyWindow = 400
	// smallWorkWindow is the number of grants after which an earlier one has lost most of its weight in the mean
	// work of small requests.
	smallWorkWindow = 20
	// quantileStep is the relative step by which the estimate of a quantile moves with an arrival.
	quantileStep = 0.05
	// initialQuantile is the initial estimate of the quantiles.
	initialQuantile = 200 * time.Millisecond
)

// tally counts arrivals and grants, with exponential decay.
type tally struct{ arrived, served float64 }

// share returns the share of arrivals that were granted a server.
func (t *tally) share() float64 { return t.served / max(t.arrived, 1) }

// sizeClasses tracks the served share of the size classes of a rank.
type sizeClasses struct {
	// bounds are the lower bounds of expected work of the classes of large requests.
	bounds  [len(classQuantiles)]time.Duration
	classes [len(classQuantiles) + 1]tally
	total   tally
	// smallWork is the mean expected work of the small requests that were granted lately.
	smallWork time.Duration
}

func newSizeClasses() sizeClasses {
	return sizeClasses{bounds: [len(classQuantiles)]time.Duration{initialQuantile, initialQuantile}}
}

// class returns the class of a request by its expected work; 0 is the class of small requests.
func (s *sizeClasses) class(work time.Duration) int {
	for c := len(s.bounds); c > 0; c-- {
		if work > s.bounds[c-1] {
			return c
		}
	}
	return 0
}

// recordArrival counts an arrival, adjusts the quantile estimates and returns the class of the request.
func (s *sizeClasses) recordArrival(work time.Duration) int {
	for i, quantile := range classQuantiles {
		step := quantileStep * float64(s.bounds[i])
		if work > s.bounds[i] {
			s.bounds[i] += time.Duration(step * quantile)
		} else {
			s.bounds[i] -= time.Duration(step * (1 - quantile))
		}
	}
	for i := range s.classes {
		s.classes[i].decay()
	}
	s.total.decay()
	class := s.class(work)
	s.classes[class].arrived++
	s.total.arrived++
	return class
}

// decay reduces the weight of earlier arrivals and grants.
func (t *tally) decay() {
	t.arrived -= t.arrived / tallyWindow
	t.served -= t.served / tallyWindow
}

// recordGrant counts a grant of a request of a class.
func (s *sizeClasses) recordGrant(class int, work time.Duration) {
	if class == 0 {
		s.smallWork += (work - s.smallWork) / smallWorkWindow
	}
	s.classes[class].served++
	s.total.served++
}

// underserved returns which classes are served too seldom in comparison to the rank.
func (s *sizeClasses) underserved() (classes [len(classQuantiles) + 1]bool) {
	least := minServedRatio * s.total.share()
	for c := 1; c < len(classes); c++ {
		classes[c] = s.classes[c].share() < least
	}
	return classes
}

// promptSize returns the size of a prompt as the time in which an engine reads it.
func promptSize(w *Request) time.Duration { return time.Duration(w.Prompt) * defaultPrefill }

// underservedSizes holds the classes of a rank that are served too seldom.
type underservedSizes struct{ work, prompt [len(classQuantiles) + 1]bool }

// underservedSizes returns the classes by work and by prompt that are served too seldom, and whether there are any.
func (r *rank) underservedSizes() (u underservedSizes, any bool) {
	u = underservedSizes{r.sizeClasses.underserved(), r.promptClasses.underserved()}
	return u, u != underservedSizes{}
}

// has reports whether a request belongs to one of the classes.
func (u *underservedSizes) has(q *queuedRequest) bool {
	return u.work[q.sizeClass] || u.prompt[q.promptClass]
}
