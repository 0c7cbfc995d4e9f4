package dispatch

import "briaryard/internal/model"

// memorySize bounds the ended requests that are remembered. At 3,200 requests/s it covers
// about 5 s, longer than a message waits for a reopened connection.
const memorySize = 16_384

// placement identifies one grant of a request.
type placement struct {
	server      model.BackendServerID
	incarnation model.Incarnation
	epoch       model.Epoch
}

func placeOf(g *model.Grant) placement { return placement{g.Server, g.Incarnation, g.Epoch} }

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
	place placement
}

// memory remembers the most recent endings, in the order of their first entry.
type memory struct {
	index map[model.RequestID]int32
	// pages is a ring that grows a page at a time: copying it to grow made single decisions
	// slow.
	pages []*page
	size  int
	next  int
}

const pageSize = 64

type page [pageSize]remembered

type remembered struct {
	id     model.RequestID
	ending ending
}

func newMemory() memory { return memory{index: make(map[model.RequestID]int32)} }

func (m *memory) get(id model.RequestID) (ending, bool) {
	i, ok := m.index[id]
	if !ok {
		return ending{}, false
	}
	return m.at(i).ending, true
}

func (m *memory) at(i int32) *remembered { return &m.pages[i/pageSize][i%pageSize] }

func (m *memory) add(id model.RequestID, e ending) {
	if i, ok := m.index[id]; ok {
		m.at(i).ending = e
		return
	}
	i := int32(m.next)
	if m.size < memorySize {
		if m.size%pageSize == 0 {
			m.pages = append(m.pages, new(page))
		}
		m.size++
	} else {
		delete(m.index, m.at(i).id)
	}
	m.index[id] = i
	*m.at(i) = remembered{id, e}
	m.next = (m.next + 1) % memorySize
}
