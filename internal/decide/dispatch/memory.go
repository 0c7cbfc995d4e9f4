package dispatch

import "briaryard/internal/model"

// maxEnded bounds the ended requests that are remembered. At 3,200 requests/s it covers
// about 5 s, longer than a message waits for a reopened connection.
const maxEnded = 16_384

// grantKey identifies one grant of a request.
type grantKey struct {
	server      model.BackendServerID
	incarnation model.Incarnation
	epoch       model.Epoch
}

func grantKeyOf(g *model.Grant) grantKey { return grantKey{g.Server, g.Incarnation, g.Epoch} }

// endRecord states how a request left the pool.
type endRecord struct {
	// final means that a later registration of the request is late and ignored.
	final bool
	// evicted means that the eviction is repeated if the instance still lists the request as
	// waiting; kind is the kind of the eviction.
	evicted bool
	kind    Kind
	// instanceGone means that the request was removed with its instance. If the instance was
	// only partitioned, its resync lists the request again.
	instanceGone bool
	grant        grantKey
}

// endedRequests holds the records of the most recently ended requests. When it is full, a new
// request replaces the one that was added first.
type endedRequests struct {
	index map[model.RequestID]int32
	// pages is a ring that grows by one page at a time, because copying it to grow it slowed
	// down single decisions.
	pages     []*page
	size      int
	nextIndex int
}

const pageSize = 64

type page [pageSize]endedEntry

type endedEntry struct {
	id     model.RequestID
	record endRecord
}

func newEndedRequests() endedRequests { return endedRequests{index: make(map[model.RequestID]int32)} }

func (m *endedRequests) get(id model.RequestID) (endRecord, bool) {
	i, ok := m.index[id]
	if !ok {
		return endRecord{}, false
	}
	return m.at(i).record, true
}

func (m *endedRequests) at(i int32) *endedEntry { return &m.pages[i/pageSize][i%pageSize] }

func (m *endedRequests) add(id model.RequestID, e endRecord) {
	if i, ok := m.index[id]; ok {
		m.at(i).record = e
		return
	}
	i := int32(m.nextIndex)
	if m.size < maxEnded {
		if m.size%pageSize == 0 {
			m.pages = append(m.pages, new(page))
		}
		m.size++
	} else {
		delete(m.index, m.at(i).id)
	}
	m.index[id] = i
	*m.at(i) = endedEntry{id, e}
	m.nextIndex = (m.nextIndex + 1) % maxEnded
}
