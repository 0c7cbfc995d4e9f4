package dispatch

import (
	"math"
	"time"

	"briaryard/internal/model"
)

const (
	// peakMemory is the time constant with which a remembered peak decays.
	peakMemory = 30 * time.Second
	// outputRate is the weight of a new sample of the actual output length.
	outputRate = 0.05
	// rateMemory is the time constant of the measured completion rate.
	rateMemory = 5 * time.Second
)

// pace is what the pool measures of its own throughput.
type pace struct {
	// output is the mean of actual to estimated output tokens by tier.
	output [model.TierCount]float64
	// running and peak count the outstanding requests of each tier; peaks decay.
	running [model.TierCount]int
	peak    [model.TierCount]float64
	peakAt  [model.TierCount]time.Time
	// rate is the completed cost per second.
	rate   float64
	rateAt time.Time
}

func newPace() pace {
	p := pace{}
	for i := range p.output {
		p.output[i] = 1
	}
	return p
}

func (p *pace) finished(now time.Time, r *request, tokens int) {
	t := r.desc.Tier
	if tokens > 0 && r.desc.OutputTokens > 0 {
		p.output[t] += (float64(tokens)/float64(r.desc.OutputTokens) - p.output[t]) * outputRate
	}
	elapsed := now.Sub(p.rateAt).Seconds()
	if p.rateAt.IsZero() {
		elapsed = 0
	}
	p.rateAt = now
	p.rate = p.rate*math.Exp(-elapsed/rateMemory.Seconds()) + float64(r.cost)/rateMemory.Seconds()
}

func (p *pace) began(now time.Time, t model.Tier) {
	p.running[t]++
	p.peak[t] = max(p.peakNow(now, t), float64(p.running[t]))
	p.peakAt[t] = now
}

func (p *pace) ended(t model.Tier) { p.running[t]-- }

// peakNow returns the decayed peak of a tier's outstanding requests.
func (p *pace) peakNow(now time.Time, t model.Tier) float64 {
	if p.peakAt[t].IsZero() {
		return 0
	}
	return p.peak[t] * math.Exp(-now.Sub(p.peakAt[t]).Seconds()/peakMemory.Seconds())
}
