package dispatch

import (
	"math"
	"time"

	"briaryard/internal/model"
)

const (
	// peakDecay is the time constant with which a recorded peak decays.
	peakDecay = 30 * time.Second
	// outputSmoothing is the weight of a new sample in the mean output ratio.
	outputSmoothing = 0.05
	// rateDecay is the time constant of the measured completion rate.
	rateDecay = 5 * time.Second
)

// throughput measures the pool's output lengths, concurrency and completion rate.
type throughput struct {
	// outputRatio is the mean ratio of actual to estimated output tokens, by tier.
	outputRatio [model.TierCount]float64
	// outstanding and peak count the outstanding requests of each tier; peaks decay.
	outstanding [model.TierCount]int
	peak        [model.TierCount]float64
	peakAt      [model.TierCount]time.Time
	// costRate is the completed cost per second, in tokens.
	costRate   float64
	costRateAt time.Time
}

func newThroughput() throughput {
	p := throughput{}
	for i := range p.outputRatio {
		p.outputRatio[i] = 1
	}
	return p
}

// observeFinished updates the output ratio and the completion rate with a finished request.
func (p *throughput) observeFinished(now time.Time, r *request, tokens int) {
	t := r.desc.Tier
	if tokens > 0 && r.desc.OutputTokens > 0 {
		p.outputRatio[t] += (float64(tokens)/float64(r.desc.OutputTokens) - p.outputRatio[t]) * outputSmoothing
	}
	elapsed := now.Sub(p.costRateAt).Seconds()
	if p.costRateAt.IsZero() {
		elapsed = 0
	}
	p.costRateAt = now
	p.costRate = p.costRate*math.Exp(-elapsed/rateDecay.Seconds()) + float64(r.cost)/rateDecay.Seconds()
}

func (p *throughput) observeGrant(now time.Time, t model.Tier) {
	p.outstanding[t]++
	p.peak[t] = max(p.decayedPeak(now, t), float64(p.outstanding[t]))
	p.peakAt[t] = now
}

func (p *throughput) observeEnd(t model.Tier) { p.outstanding[t]-- }

// decayedPeak returns the decayed peak of a tier's outstanding requests.
func (p *throughput) decayedPeak(now time.Time, t model.Tier) float64 {
	if p.peakAt[t].IsZero() {
		return 0
	}
	return p.peak[t] * math.Exp(-now.Sub(p.peakAt[t]).Seconds()/peakDecay.Seconds())
}
