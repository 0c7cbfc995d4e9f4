package dispatch

// heap is a binary heap that records each element's index in the element, so that an element
// can be fixed or removed at any position and be in several heaps. Keys are stored beside the
// items, because a comparison that follows two pointers misses the processor's cache at the
// design size.
type heap[T any] struct {
	items []entry[T]
	// key returns the sort key of an item; less breaks ties.
	key  func(item T) float64
	less func(a, b T) bool
	// setIndex stores an element's index in the element, -1 on removal.
	setIndex func(item T, index int)
}

type entry[T any] struct {
	key  float64
	item T
}

func (h *heap[T]) before(a, b *entry[T]) bool {
	return a.key < b.key || a.key == b.key && h.less(a.item, b.item)
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0].item }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, entry[T]{h.key(item), item})
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.setIndex(h.items[i].item, -1)
	if i != last {
		h.items[i] = h.items[last]
		h.setIndex(h.items[i].item, i)
	}
	h.items[last] = entry[T]{}
	h.items = h.items[:last]
	if i != last {
		h.fix(i)
	}
}

// fix recomputes the key of the element at i and restores the heap order.
func (h *heap[T]) fix(i int) {
	h.items[i].key = h.key(h.items[i].item)
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(&h.items[i], &h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.before(&h.items[child+1], &h.items[child]) {
			child++
		}
		if !h.before(&h.items[child], &h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i].item, i)
	h.setIndex(h.items[j].item, j)
}
