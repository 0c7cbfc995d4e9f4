package admission

import (
	"math"
	"time"
)

// A wave of the demand is found by the autocorrelation of its seconds: demand that rose at the same distance
// before each rise is going to rise again. A wave that is still rising needs slots which long answers would keep.

const (
	// secondBins is the number of bins in a second, the resolution of the search for a wave.
	secondBins = 4
	// minWaveSeconds and maxWaveSeconds limit the period of a wave. A shorter one is a part of the level, and for
	// a longer one the history has no two periods.
	minWaveSeconds, maxWaveSeconds = 5, 30
	// minCorrelation is the autocorrelation from which a wave is believed. That of random arrivals stays below
	// 0.5 over the lags that are searched.
	minCorrelation = 0.6
	// minSwing is the ratio of the standard deviation to the mean from which a wave matters.
	minSwing = 0.15
	// maxWaveRatio limits the ratio between the demand ahead and the present one.
	maxWaveRatio = 3.0
)

// updateWave looks for a wave, once a second.
func (l *Load) updateWave() {
	if l.last-l.waveChecked < secondBins {
		return
	}
	l.waveChecked, l.period = l.last, 0
	seconds := int((l.last - l.first) / secondBins)
	if seconds < 2*minWaveSeconds {
		return
	}
	values := make([]float64, seconds)
	start := l.last - int64(seconds*secondBins)
	mean := 0.0
	for i := range values {
		from := start + int64(i*secondBins)
		values[i] = l.sum(from, from+secondBins)
		mean += values[i] / float64(seconds)
	}
	variance := 0.0
	for i := range values {
		values[i] -= mean
		variance += values[i] * values[i] / float64(seconds)
	}
	if math.Sqrt(variance) < minSwing*mean {
		return
	}
	l.period = secondBins * int64(bestLag(values, variance))
}

// bestLag returns the lag of the highest peak of the autocorrelation, or zero. The correlation must have been
// negative at a shorter lag: that of a single burst or a trend only falls.
func bestLag(values []float64, variance float64) int {
	best, bestValue, fell := 0, minCorrelation, false
	for lag := 1; lag <= min(maxWaveSeconds, len(values)/2); lag++ {
		c := 0.0
		for i := lag; i < len(values); i++ {
			c += values[i] * values[i-lag]
		}
		c /= variance * float64(len(values)-lag)
		fell = fell || c < 0
		if fell && lag >= minWaveSeconds && c > bestValue {
			best, bestValue = lag, c
		}
	}
	return best
}

// waveRatio returns the ratio of the demand after a time to the present one, as it was one period ago, and whether
// a wave is known.
func (l *Load) waveRatio(ahead time.Duration) (float64, bool) {
	if l.period == 0 {
		return 0, false
	}
	before := l.around(l.last - l.period)
	if before <= 0 {
		return 0, false
	}
	ratio := l.around(l.last-l.period+int64(ahead/binLength)) / before
	return min(max(ratio, 1/maxWaveRatio), maxWaveRatio), true
}

// around returns the demand of the second around a bin.
func (l *Load) around(at int64) float64 {
	from, to := max(at-secondBins/2, l.first), min(at+secondBins/2+1, l.last)
	if from >= to {
		return 0
	}
	return l.sum(from, to) / float64(to-from)
}
