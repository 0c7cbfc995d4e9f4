package fleet

import "time"

const (
	// serverSmoothing and generationSmoothing are the weights of a new sample. A server's speed
	// adapts within a few answers; the generation's speed is the long-term reference.
	serverSmoothing     = 0.3
	generationSmoothing = 0.02
	// minReferenceSamples is the number of answers from a generation before its speed is a
	// reference for windows. A new dispatcher has no learned speeds, and its first samples vary
	// widely.
	minReferenceSamples = 20
	// fullSampleTokens is the prompt work at which a first-token sample has full weight. Shorter
	// prompts measure fixed overhead more than speed.
	fullSampleTokens = 256
	// firstTokenBase is the assumed fixed part of a first-token time.
	firstTokenBase = 5 * time.Millisecond
	// defaultPrefillCost is the assumed time per prompt token before any answer.
	defaultPrefillCost = 200 * time.Microsecond
	// defaultDecodeCost is the assumed time per output token and unit of concurrency.
	defaultDecodeCost = 1 * time.Millisecond
)

// speed holds the learned costs of a prompt token (prefill) and of an output token (decode), in
// seconds. decode is the time between tokens divided by the concurrency, since engines share
// their decode rate between streams.
type speed struct {
	prefill, decode               float64
	prefillSamples, decodeSamples int
	// prefillWeight is the sum of the weights of the prefill samples.
	prefillWeight float64
	// minConcurrency is the least concurrency of one stream on a usable server of a generation, 0
	// if there is no such server.
	minConcurrency float64
}

// known reports whether the weights of the prefill samples add up to a full sample. A few short
// prompts, perhaps cached without the dispatcher's knowledge, are no measure of speed.
func (s *speed) known() bool { return s.prefillWeight >= 1 }

// addPrefill adds a prefill sample with a weight between 0 and 1.
func (s *speed) addPrefill(sample, weight, rate float64) {
	s.prefillWeight += weight
	s.prefill += (sample - s.prefill) * weight * max(rate, 1/s.prefillWeight)
	s.prefillSamples++
}

// addDecode adds a decode sample.
func (s *speed) addDecode(sample, rate float64) {
	s.decode = updateMean(s.decode, sample, rate, s.decodeSamples)
	s.decodeSamples++
}

// updateMean averages the first samples evenly, so that the initial value does not persist, and
// later ones exponentially.
func updateMean(old, sample, rate float64, samples int) float64 {
	if samples == 0 {
		return sample
	}
	rate = max(rate, 1/float64(samples+1))
	return old + (sample-old)*rate
}

// prefillCost returns the seconds per prompt token: the server's own figure, else its
// generation's, else the default.
func (s *server) prefillCost() float64 {
	switch {
	case s.speed.known():
		return s.speed.prefill
	case s.generation.known():
		return s.generation.prefill
	}
	return defaultPrefillCost.Seconds()
}

// decodeCost returns the seconds per output token and unit of concurrency, chosen likewise.
func (s *server) decodeCost() float64 {
	switch {
	case s.speed.decodeSamples > 0:
		return s.speed.decode
	case s.generation.decodeSamples > 0:
		return s.generation.decode
	}
	return defaultDecodeCost.Seconds()
}

// concurrency returns the factor by which n streams on the server lengthen the time between
// tokens. A small batch does not use the engine fully, hence the constant part.
func (s *server) concurrency(n int) float64 {
	return float64(max(s.record.Slots, 4))/4 + float64(max(n, 1))
}
