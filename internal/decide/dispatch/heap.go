package dispatch

// heap is a binary heap whose elements know their index; an element may be in several.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// place records an element's index, -1 when it is removed.
	place func(item T, index int)
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.place(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.place(h.items[i], -1)
	if i != last {
		h.items[i] = h.items[last]
		h.place(h.items[i], i)
	}
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if i != last {
		h.fix(i)
	}
}

// fix restores the order after the element at i has changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
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
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
}
