package intake

import (
	"cmp"
	"slices"
	"time"
)

// Holder is a connection that could be closed without cutting off a request: none of its requests has been read
// to its end without an answer.
type Holder struct {
	// Bytes is the memory of the header section that it has sent so far.
	Bytes int64
	// Waiting is how long it has had no request: since it was opened or since its last answer ended.
	Waiting time.Duration
	// Kept is set for a connection that waits for another request after an answer, and has sent nothing of it.
	Kept bool
}

// keptFactor lets a connection with an answer wait four times as long as one without a request.
const keptFactor = 0.25

// weight is the memory that a connection has held, times the time for which it has. The time of a new connection is
// short, so that a caller whose request is on its way is not closed for others that arrive at the same time.
func (h *Holder) weight() float64 {
	w := float64(h.Bytes+ConnectionBytes) * h.Waiting.Seconds()
	if h.Kept {
		w *= keptFactor
	}
	return w
}

// Order returns the indexes of the holders in the order in which they should be closed: the one first that holds
// most for longest without a request.
func Order(holders []Holder) []int {
	order := make([]int, len(holders))
	weights := make([]float64, len(holders))
	for i := range order {
		order[i], weights[i] = i, holders[i].weight()
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order
}
