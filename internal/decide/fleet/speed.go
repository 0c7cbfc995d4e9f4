package fleet

import "time"

const (
	// serverRate and generationRate are the weights of a new sample. A server's speed
	// follows within a few answers; the generation's speed is the long-term reference.
	serverRate     = 0.3
	generationRate = 0.02
	// enoughSamples is the number of answers of a generation before its speed is a reference
	// for windows. A new dispatcher knows no speeds, and its first samples vary widely.
	enoughSamples = 20
	// fullSampleTokens is the prompt work at which a first-token sample has full weight.
	// Shorter prompts measure fixed overhead more than speed.
	fullSampleTokens = 256
	// firstTokenBase is the assumed fixed part of a first-token time.
	firstTokenBase = 5 * time.Millisecond
	// defaultPrefill is the assumed time for one prompt token before any answer.
	defaultPrefill = 200 * time.Microsecond
	// defaultUnit is the assumed time for one output token per unit of concurrency.
	defaultUnit = 1 * time.Millisecond
)

// speed is a learned pair of costs in seconds. Unit is the time between tokens divided by
// the concurrency, since engines share their decode rate between streams.
type speed struct {
	prefill, unit               float64
	prefillSamples, unitSamples int
	// evidence is the sum of the weights of the prefill samples.
	evidence float64
	// idle is the least concurrency of one stream on a usable server of a generation, 0
	// without such a server.
	idle float64
}

// known reports whether the prefill samples add up to a full one. A few short prompts,
// perhaps from a cache that the dispatcher does not know of, measure no speed.
func (s *speed) known() bool { return s.evidence >= 1 }

// addPrefill takes a sample of a weight between 0 and 1.
func (s *speed) addPrefill(sample, weight, rate float64) {
	s.evidence += weight
	s.prefill += (sample - s.prefill) * weight * max(rate, 1/s.evidence)
	s.prefillSamples++
}

func (s *speed) addUnit(sample, rate float64) {
	s.unit = blend(s.unit, sample, rate, s.unitSamples)
	s.unitSamples++
}

// blend averages the first samples evenly so that the start value does not persist.
func blend(old, sample, rate float64, samples int) float64 {
	if samples == 0 {
		return sample
	}
	rate = max(rate, 1/float64(samples+1))
	return old + (sample-old)*rate
}

// prefillCost returns the seconds for one prompt token: the server's own figure, else its
// generation's, else the default.
func (s *server) prefillCost() float64 {
	switch {
	case s.speed.known():
		return s.speed.prefill
	case s.generation.known():
		return s.generation.prefill
	}
	return defaultPrefill.Seconds()
}

func (s *server) unitCost() float64 {
	switch {
	case s.speed.unitSamples > 0:
		return s.speed.unit
	case s.generation.unitSamples > 0:
		return s.generation.unit
	}
	return defaultUnit.Seconds()
}

// concurrency is the divisor of the time between tokens with n streams on the server. A
// small batch does not use the engine fully, hence the constant part.
func (s *server) concurrency(n int) float64 {
	return float64(max(s.record.Slots, 4))/4 + float64(max(n, 1))
}
