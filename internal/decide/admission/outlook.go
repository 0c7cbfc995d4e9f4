package admission

import (
	"math"
	"time"
)

// horizons are the times ahead at which demand and supply are compared. A request that holds its slot for longer
// than the last one counts as if it held it for that time.
var horizons = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 6400 * time.Millisecond,
}

const (
	// maxWait is the time that an urgent request may wait for a running one to end: a third of the shortest
	// latency objective of a stream (300 ms). What ends within it after a time needs no free slot at that time.
	maxWait = 100 * time.Millisecond
	// deviations is the number of standard deviations of random arrivals by which the demand may exceed its mean.
	deviations = 1.0
	// minRemaining is the remaining time of work that is expected to end now.
	minRemaining = 5 * time.Millisecond
	// endUnits is the resolution in which the ends of running requests are counted.
	endUnits = 1024
)

// Outlook holds what more urgent ranks are expected to need, and what running work gives back, at each horizon.
// The zero value is empty.
type Outlook struct {
	// ends is the number of running requests that are expected to have ended, in units of 1/endUnits. Integers keep
	// the sum independent of the order in which requests are added, so that decisions can be reproduced.
	ends [len(horizons)]int64
	// need holds the number of slots that the ranks before each one need, the most urgent first.
	need [][len(horizons)]float64
	// total is the number of slots that all ranks need.
	total [len(horizons)]float64
}

// Reset empties the outlook.
func (o *Outlook) Reset() {
	o.ends, o.total, o.need = [len(horizons)]int64{}, [len(horizons)]float64{}, o.need[:0]
}

// AddRunning adds a running request that is expected to end after a time, which is negative if it should have ended
// before. A request that has run past its expected end is expected to need as long again: the lengths of answers
// have a long tail.
func (o *Outlook) AddRunning(remaining time.Duration) { o.changeRunning(remaining, 1) }

// RemoveRunning removes a request that has ended.
func (o *Outlook) RemoveRunning(remaining time.Duration) { o.changeRunning(remaining, -1) }

func (o *Outlook) changeRunning(remaining time.Duration, n int64) {
	// Estimates of lengths are off by a factor of two for one in ten, so the end is spread around the expected one.
	median := max(remaining.Abs(), minRemaining).Seconds()
	for i, h := range horizons {
		t := (h + maxWait).Seconds()
		o.ends[i] = max(o.ends[i]+n*int64(endUnits*t*t/(t*t+median*median)), 0)
	}
}

// AddRank adds the next rank, in the order of urgency.
func (o *Outlook) AddRank(now time.Time, l *Load) {
	l.advance(now)
	need := o.total
	for i := range horizons {
		need[i] += deviations * math.Sqrt(need[i])
	}
	o.need = append(o.need, need)
	if l.empty() {
		return
	}
	l.updateRise()
	l.updateWave()
	for i, h := range horizons {
		o.total[i] += l.slots(now, h)
	}
}

// Reserve returns the number of free slots that a request of a rank leaves for more urgent ranks if it holds its
// slot for a time: the most that they need at any moment until then, less what has ended by that moment. The index
// is that of the rank in the order in which the ranks were added.
func (o *Outlook) Reserve(index int, hold time.Duration) float64 {
	if index >= len(o.need) {
		return 0
	}
	reserve, before, previous := 0.0, 0.0, time.Duration(0)
	for i, h := range horizons {
		missing := o.need[index][i] - float64(o.ends[i])/endUnits
		if hold <= h {
			// Between two horizons, in proportion.
			return max(reserve, before+(missing-before)*float64(hold-previous)/float64(h-previous), 0)
		}
		reserve = max(reserve, missing)
		before, previous = missing, h
	}
	return reserve
}

// LongestHold returns the longest time for which a request of a rank may hold one of a number of free slots, so that
// it leaves more than Reserve for that time.
func (o *Outlook) LongestHold(index, free int) time.Duration {
	if index >= len(o.need) {
		return math.MaxInt64
	}
	before, previous := 0.0, time.Duration(0)
	for i, h := range horizons {
		missing := o.need[index][i] - float64(o.ends[i])/endUnits
		if missing >= float64(free) {
			return previous + time.Duration(float64(h-previous)*(float64(free)-before)/(missing-before))
		}
		before, previous = missing, h
	}
	return math.MaxInt64
}
