package fleet

import "math"

// Observation compares the latency of one answer with that expected of an unloaded, healthy
// server of the same hardware generation.
type Observation struct {
	// Ratio is the expected time divided by the observed time; 1 or more is as fast as expected.
	Ratio float64
	// InFlight is the number of requests in flight on the server when the answer arrived.
	InFlight int
}

// Law is a concurrency limiter: it sets how many requests may be in flight on one server.
type Law interface {
	// Window returns the current limit, at least 1.
	Window() float64
	// Observe updates the limit with one answer.
	Observe(o Observation)
}

// NewLaw creates a limiter for a server that announces a number of slots.
type NewLaw func(slots int) Law

const (
	// slowdownTolerance is the slowdown that counts as normal variation: estimates of prompts
	// that share an engine with others are off by up to a factor of two.
	slowdownTolerance = 2
	// minGradient bounds the decrease for one answer, because one slow answer may have waited
	// behind a single long prompt.
	minGradient = 0.5
)

// gradient scales the window by the ratio of expected to observed time.
type gradient struct{ window, limit float64 }

// NewGradient returns a gradient limiter.
func NewGradient(slots int) Law {
	return &gradient{window: float64(max(slots, 1)), limit: float64(max(slots, 1))}
}

func (g *gradient) Window() float64 { return g.window }

func (g *gradient) Observe(o Observation) {
	factor := min(max(o.Ratio*slowdownTolerance, minGradient), 1)
	next := g.window * factor
	if factor == 1 {
		// A window that is not in use is no evidence that a larger one would be acceptable.
		if float64(o.InFlight) < g.window/2 {
			return
		}
		next += math.Sqrt(g.window) / 4
	}
	g.window = min(max(next, 1), g.limit)
}

// aimd increases the window additively on a normal answer and decreases it by a factor on a
// slow one.
type aimd struct{ window, limit float64 }

// NewAIMD returns an additive-increase, multiplicative-decrease limiter.
func NewAIMD(slots int) Law {
	return &aimd{window: float64(max(slots, 1)), limit: float64(max(slots, 1))}
}

func (a *aimd) Window() float64 { return a.window }

func (a *aimd) Observe(o Observation) {
	if o.Ratio*slowdownTolerance < 1 {
		a.window = max(a.window*0.7, 1)
		return
	}
	if float64(o.InFlight) >= a.window/2 {
		a.window = min(a.window+1/a.window, a.limit)
	}
}

// fixed keeps the window at the announced slots.
type fixed struct{ window float64 }

// NewFixed returns a limiter that never changes the window.
func NewFixed(slots int) Law { return fixed{float64(max(slots, 1))} }

func (f fixed) Window() float64     { return f.window }
func (f fixed) Observe(Observation) {}
