package admission

import (
	"math"
	"time"
)

const (
	// binLength is the resolution of the demand: a part of the shortest time for which callers wait for a
	// first event (300 ms).
	binLength = 250 * time.Millisecond
	// binCount bounds the history to 64 s, more than two periods of a wave of 30 s.
	binCount = 256
	// levelBins is the number of whole bins of the current level. A rank that stops arriving has no demand
	// after a second.
	levelBins = 4
	// minObserved is the shortest time over which the demand is averaged. A few requests that arrive together
	// would otherwise look like a high rate.
	minObserved = 250 * time.Millisecond
	// holdWeight is the weight of a request in the mean time that the requests of a rank hold a slot.
	holdWeight = 0.02
	// maxAge is the age up to which demand that is reported late is counted in its own bin.
	maxAge = 2 * time.Second
)

// Load holds the demand of one rank of a service: the slot time that its requests ask for, whether they are
// queued or refused. The zero value is ready for use.
type Load struct {
	// bins holds the slot-seconds that were requested in each binLength. The number of the bin of now is last,
	// that of the first bin with demand is first, or zero if there is none.
	bins        [binCount]float32
	first, last int64
	// hold is the mean time in seconds for which a request holds its slot.
	hold float64
	// rise is the growth of the demand per second, as of the last bin that has ended.
	rise float64
	// period is the length of the wave in bins, or zero.
	period       int64
	waveChecked  int64
	riseComputed int64
}

// Offer counts the demand of a request that asked for a slot, which it is expected to hold for a time.
func (l *Load) Offer(now, asked time.Time, hold time.Duration) {
	l.OfferMany(now, asked, hold, 1)
}

// OfferMany counts the demand of several requests that asked for a slot at a time, with the sum of the times for
// which they hold it.
func (l *Load) OfferMany(now, asked time.Time, hold time.Duration, requests int) {
	if requests <= 0 || hold <= 0 {
		return
	}
	l.advance(now)
	at := max(binOf(asked), l.last-int64(maxAge/binLength))
	if at > l.last {
		at = l.last
	}
	if l.empty() || at < l.first {
		l.first = at
	}
	l.bins[at%binCount] += float32(hold.Seconds())
	mean := hold.Seconds() / float64(requests)
	if l.hold == 0 {
		l.hold = mean
	}
	l.hold += (mean - l.hold) * (1 - math.Pow(1-holdWeight, float64(requests)))
}

func binOf(t time.Time) int64 { return t.UnixNano() / int64(binLength) }

// empty reports whether there is no demand in the history.
func (l *Load) empty() bool { return l.first == 0 }

// advance empties the bins between the last one and that of now.
func (l *Load) advance(now time.Time) {
	at := binOf(now)
	if at-l.last >= binCount {
		l.bins = [binCount]float32{}
		l.first, l.last, l.period, l.rise = 0, at, 0, 0
		return
	}
	for l.last < at {
		l.last++
		l.bins[l.last%binCount] = 0
	}
	if !l.empty() {
		l.first = max(l.first, l.last-binCount+1)
	}
}

// sum returns the demand of the bins from one number to before another, which must be in the history.
func (l *Load) sum(from, to int64) float64 {
	total := 0.0
	for i := from; i < to; i++ {
		total += float64(l.bins[i%binCount])
	}
	return total
}

// Level returns the current demand in slots.
func (l *Load) Level(now time.Time) float64 {
	l.advance(now)
	if l.empty() {
		return 0
	}
	return l.level(now)
}

// level returns the current demand in slots, as of the last advance.
func (l *Load) level(now time.Time) float64 {
	from := max(l.last-levelBins, l.first)
	observed := now.Sub(time.Unix(0, from*int64(binLength)))
	return l.sum(from, l.last+1) / max(observed, minObserved).Seconds()
}

const (
	// riseBins is the number of bins over which the rise is measured: three seconds, a part of a burst.
	riseBins = 12
	// riseErrors is the number of standard errors by which a rise must exceed the noise of random arrivals.
	riseErrors = 2
	// maxRiseAhead is how far ahead a rise is extrapolated: a third of the time over which it is measured.
	maxRiseAhead = time.Second
)

// updateRise measures the rise of the demand over the last bins that have ended, by a regression.
func (l *Load) updateRise() {
	if l.riseComputed == l.last {
		return
	}
	l.riseComputed, l.rise = l.last, 0
	if l.last-l.first < riseBins {
		return
	}
	const middle = float64(riseBins-1) / 2
	const spread = float64(riseBins*(riseBins*riseBins-1)) / 12
	mean := l.sum(l.last-riseBins, l.last) / riseBins
	slope := 0.0
	for i := range int64(riseBins) {
		slope += (float64(i) - middle) * (float64(l.bins[(l.last-riseBins+i)%binCount]) - mean) / spread
	}
	residual := 0.0
	for i := range int64(riseBins) {
		d := float64(l.bins[(l.last-riseBins+i)%binCount]) - mean - slope*(float64(i)-middle)
		residual += d * d
	}
	slope -= riseErrors * math.Sqrt(residual/(riseBins-2)/spread)
	// Slot-seconds per bin become slots, and their growth per bin the growth per second.
	l.rise = max(slope, 0) / binLength.Seconds() / binLength.Seconds()
}

// forecast returns the expected demand in slots at a time from now on.
func (l *Load) forecast(now time.Time, ahead time.Duration) float64 {
	level := l.level(now)
	if ratio, ok := l.waveRatio(ahead); ok {
		return level * ratio
	}
	return level + l.rise*min(ahead, maxRiseAhead).Seconds()
}

// slots returns the expected number of slots that the requests which arrive from now on hold after a time.
func (l *Load) slots(now time.Time, ahead time.Duration) float64 {
	if l.hold <= 0 {
		return 0
	}
	return l.forecast(now, ahead) * (1 - math.Exp(-ahead.Seconds()/l.hold))
}
