package dispatch

import (
	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

// phase is the state of a request in the pool.
type phase uint8

const (
	// waiting means that the request waits for a grant in the queue of its tier.
	waiting phase = iota
	// following means that the request waits for another one with the same idempotency key.
	following
	// granted means that the request has a grant and has not ended.
	granted
)

// request is a waiting or outstanding request. It is linked into its flow's heaps, its tier's
// latest grant times and the list of its instance.
type request struct {
	desc  model.Descriptor
	phase phase
	cost  int64
	flow  *flow
	// latestGrant is the last time at which a grant can still meet the deadline, in nanoseconds
	// since 1970.
	latestGrant int64
	// deadlineIndex, costIndex and latestGrantIndex are heap indexes, -1 outside the heap.
	deadlineIndex, costIndex, latestGrantIndex int32
	// held means that the request is excluded from grants until the next release.
	held bool
	// followers wait for this request to end; leader is set while following.
	followers []*request
	leader    *request
	// run is nil until the request is granted: most requests wait, and at the design size the
	// cost of a decision is mostly the memory that it touches.
	run *run
	// prev and next link the requests of one instance.
	prev, next *request
}

// run is the state of a granted request.
type run struct {
	grant model.Grant
	// sequence numbers the grants to the instance; 0 if another dispatcher made the grant.
	sequence uint64
	work     fleet.Work
}

// flow is the queue of one team's waiting requests in one tier.
type flow struct {
	team   model.TeamID
	tier   model.Tier
	weight float64
	// usage is that of the team; it is set while the flow has waiting requests.
	usage *teamUsage
	// virtualStart is the virtual start time of the next request. When an idle flow becomes
	// busy, it is raised to the tier's virtual time, so that an idle flow accumulates no share.
	virtualStart float64
	// backlog is the estimated cost of the waiting requests.
	backlog    int64
	byDeadline heap[*request]
	byCost     heap[*request]
	// startIndex and finishIndex are heap indexes, -1 outside the heap.
	startIndex, finishIndex int
}

// virtualFinish returns the virtual time at which the flow's backlog would be done. Shedding
// takes the team with the largest one: it grows with past use and with waiting cost, each
// relative to the weight.
func (f *flow) virtualFinish() float64 { return f.virtualStart + float64(f.backlog)/f.weight }

// tierQueue holds the waiting requests of one tier, by team.
type tierQueue struct {
	virtualTime   float64
	flows         map[model.TeamID]*flow
	byStart       heap[*flow]
	byFinish      heap[*flow]
	byLatestGrant heap[*request]
	// backlog and waiting are the estimated cost and the number of the waiting requests.
	backlog int64
	waiting int
	// credit is the cost that the tier may take ahead of higher tiers, from its minimum share.
	credit float64
	held   []*request
}

func newFlow(team model.TeamID, tier model.Tier, weight float64) *flow {
	f := &flow{team: team, tier: tier, weight: weight, startIndex: -1, finishIndex: -1}
	f.byDeadline = heap[*request]{
		key: func(r *request) float64 { return float64(r.desc.Deadline.UnixNano()) },
		less: func(a, b *request) bool {
			if !a.desc.Deadline.Equal(b.desc.Deadline) {
				return a.desc.Deadline.Before(b.desc.Deadline)
			}
			return earlier(a, b)
		},
		setIndex: func(r *request, i int) { r.deadlineIndex = int32(i) },
	}
	f.byCost = heap[*request]{
		key:      func(r *request) float64 { return -float64(r.cost) },
		less:     func(a, b *request) bool { return earlier(b, a) },
		setIndex: func(r *request, i int) { r.costIndex = int32(i) },
	}
	return f
}

// earlier breaks ties by arrival and request ID, so that the order does not depend on the
// history of the heaps.
func earlier(a, b *request) bool {
	if !a.desc.Arrived.Equal(b.desc.Arrived) {
		return a.desc.Arrived.Before(b.desc.Arrived)
	}
	if a.desc.ID.Instance != b.desc.ID.Instance {
		return a.desc.ID.Instance < b.desc.ID.Instance
	}
	return a.desc.ID.Seq < b.desc.ID.Seq
}

func (t *tierQueue) init() {
	t.flows = make(map[model.TeamID]*flow)
	t.byStart = heap[*flow]{
		key:      func(f *flow) float64 { return f.virtualStart },
		less:     func(a, b *flow) bool { return a.team < b.team },
		setIndex: func(f *flow, i int) { f.startIndex = i },
	}
	t.byFinish = heap[*flow]{
		key:      func(f *flow) float64 { return -f.virtualFinish() },
		less:     func(a, b *flow) bool { return a.team < b.team },
		setIndex: func(f *flow, i int) { f.finishIndex = i },
	}
	t.byLatestGrant = heap[*request]{
		key: func(r *request) float64 { return float64(r.latestGrant) },
		less: func(a, b *request) bool {
			return a.latestGrant < b.latestGrant || a.latestGrant == b.latestGrant && earlier(a, b)
		},
		setIndex: func(r *request, i int) { r.latestGrantIndex = int32(i) },
	}
}

// insert adds a request to the flow of its team.
func (t *tierQueue) insert(r *request, weight float64) {
	f := t.flows[r.desc.Team]
	if f == nil {
		f = newFlow(r.desc.Team, r.desc.Tier, weight)
		t.flows[r.desc.Team] = f
	}
	r.flow = f
	f.weight = weight
	if f.byCost.len() == 0 {
		f.virtualStart = max(f.virtualStart, t.virtualTime)
	}
	f.backlog += r.cost
	t.backlog += r.cost
	t.waiting++
	f.byDeadline.push(r)
	f.byCost.push(r)
	t.byLatestGrant.push(r)
	t.fixHeaps(f)
}

// remove removes a request from its flow, and the flow if it is empty and has no use beyond
// the tier's virtual time.
func (t *tierQueue) remove(r *request) {
	f := r.flow
	if r.deadlineIndex >= 0 {
		f.byDeadline.remove(int(r.deadlineIndex))
	}
	f.byCost.remove(int(r.costIndex))
	t.byLatestGrant.remove(int(r.latestGrantIndex))
	f.backlog -= r.cost
	t.backlog -= r.cost
	t.waiting--
	if r.held {
		r.held = false
		for i, h := range t.held {
			if h == r {
				t.held = append(t.held[:i], t.held[i+1:]...)
				break
			}
		}
	}
	t.fixHeaps(f)
	if f.byCost.len() == 0 && f.virtualStart <= t.virtualTime {
		delete(t.flows, f.team)
	}
	r.flow = nil
}

// hold excludes a request from grants until the next release. It can still expire or be shed.
func (t *tierQueue) hold(r *request) {
	r.held = true
	r.flow.byDeadline.remove(int(r.deadlineIndex))
	t.held = append(t.held, r)
	t.fixHeaps(r.flow)
}

// release makes the held requests available for grants again.
func (t *tierQueue) release() {
	for _, r := range t.held {
		r.held = false
		r.flow.byDeadline.push(r)
		t.fixHeaps(r.flow)
	}
	t.held = t.held[:0]
}

// charge adds the cost of a granted request to its flow's virtual start.
func (t *tierQueue) charge(f *flow, cost int64) {
	t.virtualTime = max(t.virtualTime, f.virtualStart)
	f.virtualStart += float64(cost) / f.weight
}

// fixHeaps restores a flow's heap positions after its virtual start, backlog or requests have
// changed.
func (t *tierQueue) fixHeaps(f *flow) {
	fixHeap(&t.byStart, f, f.startIndex, f.byDeadline.len() > 0)
	fixHeap(&t.byFinish, f, f.finishIndex, f.byCost.len() > 0)
}

// fixHeap inserts, moves or removes a flow; member tells whether it belongs in the heap.
func fixHeap(h *heap[*flow], f *flow, index int, member bool) {
	switch {
	case member && index < 0:
		h.push(f)
	case member:
		h.fix(index)
	case index >= 0:
		h.remove(index)
	}
}

// setWeights applies changed team weights.
func (t *tierQueue) setWeights(weight func(model.TeamID) float64) {
	for _, f := range t.flows {
		f.weight = weight(f.team)
		t.fixHeaps(f)
	}
}
