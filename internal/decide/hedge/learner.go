package hedge

import (
	"math"
	"math/bits"
	"time"
)

const (
	// minQuantile and maxQuantile bound the share of calls that are faster than Times.Slow. Between them it is the
	// smallest one from which the rest of a call is expected to take at least minExcess times the median: before that, a
	// second call would be answered later than the first one. Without such a tail only one call in a hundred is slow.
	minQuantile = 0.9
	maxQuantile = 0.99
	minExcess   = 0.5
	// minTail is the number of calls in the tail below which its length is not known.
	minTail = 2.0
	// halfLife is the time in which a sample loses half of its weight: long enough for an instance with three
	// requests a second to know its own times, short enough to follow a change of load.
	halfLife = 10 * time.Second
	// minWeight is the weight of all samples below which the times are not known. A tenth of it is minTail.
	minWeight = 20.0
	// usualRise is the time in which the usual median follows a rise of the median. It follows a fall within
	// halfLife.
	usualRise = 2 * time.Minute
	// maxRise is the ratio of the median to the usual one from which all servers count as slow.
	maxRise = 1.5
	// maxKeys bounds the pairs of route and size class that are learned. Later ones have no known times.
	maxKeys = 512
	// bucketRatio is the ratio between the bounds of neighbouring buckets, and minTime the bound of the first.
	// The last bound is above one minute.
	bucketRatio = 1.1
	minTime     = time.Millisecond
	buckets     = 118
	// maxScale is the weight of a new sample from which all weights are scaled down.
	maxScale = 1 << 20
)

// bounds holds the upper bounds of the buckets.
var bounds = func() (out [buckets]float64) {
	for i := range out {
		out[i] = float64(minTime) * math.Pow(bucketRatio, float64(i))
	}
	return out
}()

// key is a route and a size class.
type key struct {
	route string
	class int
}

// sizeClass returns the size class of a prompt: those below 512 tokens, and then one for each doubling.
func sizeClass(prompt int) int {
	const smallest, largest = 9, 6
	return min(bits.Len(uint(max(prompt, 0))>>smallest), largest)
}

// Learner learns the times to the first answer.
type Learner struct{ histograms map[key]*histogram }

// NewLearner returns a learner without samples.
func NewLearner() *Learner { return &Learner{histograms: make(map[key]*histogram)} }

// Record adds the time of an answer, or that of a call which was cancelled without one.
func (l *Learner) Record(now time.Time, route string, prompt int, took time.Duration) {
	k := key{route, sizeClass(prompt)}
	h := l.histograms[k]
	if h == nil {
		if len(l.histograms) >= maxKeys {
			return
		}
		h = &histogram{base: now, since: now}
		l.histograms[k] = h
	}
	h.add(now, took)
}

// RecordCancelled adds the time for which a call had run without an answer when it was cancelled. A shorter one
// than the present quantile says nothing of how long the call would have taken.
func (l *Learner) RecordCancelled(now time.Time, route string, prompt int, ran time.Duration) {
	if t := l.Times(now, route, prompt); t.Slow > 0 && ran >= t.Slow {
		l.Record(now, route, prompt, ran)
	}
}

// Times returns the learned times of a route and size. They are not known while all servers are slow.
func (l *Learner) Times(now time.Time, route string, prompt int) Times {
	h := l.histograms[key{route, sizeClass(prompt)}]
	if h == nil || h.total < minWeight*h.scale(now) {
		return Times{}
	}
	median := h.median()
	h.updateUsual(now, median)
	if median > maxRise*h.usual {
		return Times{}
	}
	return Times{Slow: time.Duration(h.slow(h.scale(now), median)), Typical: time.Duration(min(median, h.usual))}
}

// histogram counts samples that lose their weight with time. New samples get a larger weight instead, relative
// to base.
type histogram struct {
	base    time.Time
	total   float64
	weights [buckets]float64
	// usual is the median that is usual for the last minutes, as of usualAt.
	usual   float64
	usualAt time.Time
	// since is when the first sample was added.
	since time.Time
}

// scale returns the weight of a sample that is added now.
func (h *histogram) scale(now time.Time) float64 {
	return math.Exp2(max(now.Sub(h.base).Seconds(), 0) / halfLife.Seconds())
}

func (h *histogram) add(now time.Time, took time.Duration) {
	weight := h.scale(now)
	if weight > maxScale {
		for i := range h.weights {
			h.weights[i] /= weight
		}
		h.total /= weight
		h.base, weight = now, 1
	}
	bucket := int(math.Ceil(math.Log(max(float64(took)/float64(minTime), 1)) / math.Log(bucketRatio)))
	h.weights[min(bucket, buckets-1)] += weight
	h.total += weight
}

// median returns the median, by linear interpolation within its bucket.
func (h *histogram) median() float64 {
	rest := h.total / 2
	bucket := 0
	for bucket < buckets-1 && h.weights[bucket] < rest {
		rest -= h.weights[bucket]
		bucket++
	}
	if bucket == 0 || h.weights[bucket] <= 0 {
		return bounds[bucket]
	}
	return bounds[bucket-1] + (bounds[bucket]-bounds[bucket-1])*min(rest/h.weights[bucket], 1)
}

// updateUsual lets the usual median follow the present one.
func (h *histogram) updateUsual(now time.Time, median float64) {
	passed := max(now.Sub(h.usualAt), 0)
	h.usualAt = now
	// The first answers of all are those of the fastest calls, so that a young median rises as it ages.
	follow := min(now.Sub(h.since), usualRise)
	if median < h.usual {
		follow = min(follow, halfLife)
	}
	if h.usual == 0 || follow <= 0 {
		h.usual = median
		return
	}
	h.usual += (median - h.usual) * min(passed.Seconds()/follow.Seconds(), 1)
}

// slow returns the time after which a call counts as slow; see minQuantile. The weight of one sample is given.
func (h *histogram) slow(sample, median float64) float64 {
	tail, excess := 0.0, 0.0
	best := bounds[buckets-1]
	for bucket := buckets - 1; bucket >= 0; bucket-- {
		t := bounds[bucket]
		// tail is the weight of the longer calls, and excess the sum of what they take beyond t.
		switch {
		case tail > (1-minQuantile)*h.total:
			return best
		case tail <= (1-maxQuantile)*h.total, tail >= minTail*sample && excess >= minExcess*median*tail:
			best = t
		}
		tail += h.weights[bucket]
		if bucket > 0 {
			excess += tail * (t - bounds[bucket-1])
		}
	}
	return best
}
