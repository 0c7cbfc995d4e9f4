package schedule

import (
	"math"
	"time"
)

const (
	// distributionBins is the number of bins of a distribution, each wider than the one before by a factor of
	// 2^(1/4): from 1 ms to 16 s.
	distributionBins = 57
	// distributionMin is the upper bound of the first bin.
	distributionMin = time.Millisecond
	// binsPerOctave is the number of bins in which the bound doubles.
	binsPerOctave = 4
	// distributionWindow is the number of samples after which an earlier one has lost most of its weight.
	distributionWindow = 400
	// minDistributionSamples is the weight of the samples below which the quantiles are not known.
	minDistributionSamples = 20
)

// distribution is a histogram of durations in which older samples lose their weight. Times of servers have a
// fast and a slow part, so that neither their mean nor a variance tells how many of them exceed a limit.
type distribution struct {
	weight [distributionBins]float64
	total  float64
	// step is the weight of the next sample. It grows instead of all weights being reduced.
	step float64
}

// add counts a sample.
func (d *distribution) add(sample time.Duration) {
	if d.step == 0 {
		d.step = 1
	}
	bin := 0
	if sample > distributionMin {
		bin = min(int(math.Ceil(binsPerOctave*math.Log2(float64(sample)/float64(distributionMin)))), distributionBins-1)
	}
	d.weight[bin] += d.step
	d.total += d.step
	if d.step *= 1 + 1.0/distributionWindow; d.step > 1e6 {
		for i := range d.weight {
			d.weight[i] /= d.step
		}
		d.total /= d.step
		d.step = 1
	}
}

// known reports whether there are enough samples for a quantile.
func (d *distribution) known() bool { return d.total >= minDistributionSamples*d.step }

// quantile returns a duration that a share of the samples does not exceed, or the fallback as long as there
// are few samples.
func (d *distribution) quantile(share float64, fallback time.Duration) time.Duration {
	if !d.known() {
		return fallback
	}
	sum := 0.0
	for i, w := range d.weight {
		if sum += w; sum >= share*d.total {
			return time.Duration(float64(distributionMin) * math.Exp2((float64(i)-0.5)/binsPerOctave))
		}
	}
	return fallback
}
