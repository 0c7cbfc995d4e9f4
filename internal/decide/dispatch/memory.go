package dispatch

import "briaryard/internal/model"

// memorySize bounds the ended requests that are remembered. At 3,200 requests/s it covers
// about 5 s, longer than a message waits for a reopened connection.
const memorySize = 16_384

// ending states how a request left the pool.
type ending struct {
	// final means that the request does not come back: a repeat of its registration is late.
	final bool
	// evicted repeats the decision if the instance still lists the request as waiting.
	evicted bool
	kind    Kind
	// gone means that the request was forgotten with its instance. If the instance was only cut
	// off, its state lists the request again.
	gone  bool
	grant model.Grant
}

// memory remembers the most recent endings.
type memory struct {
	endings map[model.RequestID]ending
	order   []model.RequestID
	next    int
}

func newMemory() memory { return memory{endings: make(map[model.RequestID]ending)} }

func (m *memory) add(id model.RequestID, e ending) {
	if _, ok := m.endings[id]; ok {
		m.endings[id] = e
		return
	}
	if len(m.order) < memorySize {
		m.order = append(m.order, id)
	} else {
		delete(m.endings, m.order[m.next])
		m.order[m.next] = id
		m.next = (m.next + 1) % memorySize
	}
	m.endings[id] = e
}
