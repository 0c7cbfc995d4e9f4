package dispatch

import (
	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

// phase is the state of a request that the pool knows.
type phase uint8

const (
	waiting phase = iota
	// following means that it waits for another request with the same key.
	following
	granted
)

// request is a waiting or outstanding request. It is linked into the order, the deadlines,
// the eviction order and its instance's list.
type request struct {
	desc  model.Descriptor
	phase phase
	cost  int64
	flow  *flow
	// useful is the last time at which a grant can still meet the deadline, in nanoseconds
	// since 1970.
	useful int64
	// byDeadline, byCost and byUseful are heap indexes, -1 outside the heap.
	byDeadline, byCost, byUseful int32
	// held means that it is out of the order until the next tick.
	held bool
	// followers wait for this request's end; leader is set while following.
	followers []*request
	leader    *request
	// run is nil until the request is granted: most requests wait, and at the design size
	// the cost of a decision is mostly the memory that it touches.
	run *run
	// prev and next link the requests of one instance.
	prev, next *request
}

// run is what the pool knows of a granted request.
type run struct {
	grant model.Grant
	// sequence numbers the grant among those to the instance; 0 if another dispatcher made it.
	sequence uint64
	work     fleet.Work
}

// flow is the waiting requests of one team in one tier.
type flow struct {
	team   model.TeamID
	tier   model.Tier
	weight float64
	// usage is the team's; it is set while requests of the flow wait.
	usage *usage
	// start is the virtual time at which the next request starts. An idle flow's start is
	// raised to the tier's virtual time when it becomes busy, so idling saves nothing.
	start float64
	// backlog is the estimated cost of its waiting requests.
	backlog   int64
	deadlines heap[*request]
	costs     heap[*request]
	// byStart and byExcess are heap indexes.
	byStart, byExcess int
}

// excess orders teams for eviction: the virtual time at which the team's backlog would be
// done. It grows with both past use and waiting cost, each relative to the weight.
func (f *flow) excess() float64 { return f.start + float64(f.backlog)/f.weight }

// tierOrder is one tier's flows and deadlines.
type tierOrder struct {
	virtual  float64
	flows    map[model.TeamID]*flow
	starts   heap[*flow]
	excesses heap[*flow]
	useful   heap[*request]
	backlog  int64
	waiting  int
	// credit is the cost that the tier may take before a higher tier, from its minimum share.
	credit float64
	held   []*request
}

func newFlow(team model.TeamID, tier model.Tier, weight float64) *flow {
	f := &flow{team: team, tier: tier, weight: weight, byStart: -1, byExcess: -1}
	f.deadlines = heap[*request]{
		key: func(r *request) float64 { return float64(r.desc.Deadline.UnixNano()) },
		less: func(a, b *request) bool {
			if !a.desc.Deadline.Equal(b.desc.Deadline) {
				return a.desc.Deadline.Before(b.desc.Deadline)
			}
			return earlier(a, b)
		},
		place: func(r *request, i int) { r.byDeadline = int32(i) },
	}
	f.costs = heap[*request]{
		key:   func(r *request) float64 { return -float64(r.cost) },
		less:  func(a, b *request) bool { return earlier(b, a) },
		place: func(r *request, i int) { r.byCost = int32(i) },
	}
	return f
}

// earlier breaks ties so that the order does not depend on the heaps' history.
func earlier(a, b *request) bool {
	if !a.desc.Arrived.Equal(b.desc.Arrived) {
		return a.desc.Arrived.Before(b.desc.Arrived)
	}
	if a.desc.ID.Instance != b.desc.ID.Instance {
		return a.desc.ID.Instance < b.desc.ID.Instance
	}
	return a.desc.ID.Seq < b.desc.ID.Seq
}

func (t *tierOrder) init() {
	t.flows = make(map[model.TeamID]*flow)
	t.starts = heap[*flow]{
		key:   func(f *flow) float64 { return f.start },
		less:  func(a, b *flow) bool { return a.team < b.team },
		place: func(f *flow, i int) { f.byStart = i },
	}
	t.excesses = heap[*flow]{
		key:   func(f *flow) float64 { return -f.excess() },
		less:  func(a, b *flow) bool { return a.team < b.team },
		place: func(f *flow, i int) { f.byExcess = i },
	}
	t.useful = heap[*request]{
		key: func(r *request) float64 { return float64(r.useful) },
		less: func(a, b *request) bool {
			return a.useful < b.useful || a.useful == b.useful && earlier(a, b)
		},
		place: func(r *request, i int) { r.byUseful = int32(i) },
	}
}

// insert adds a request to the order.
func (t *tierOrder) insert(r *request, weight float64) {
	f := t.flows[r.desc.Team]
	if f == nil {
		f = newFlow(r.desc.Team, r.desc.Tier, weight)
		t.flows[r.desc.Team] = f
	}
	r.flow = f
	f.weight = weight
	if f.costs.len() == 0 {
		f.start = max(f.start, t.virtual)
	}
	f.backlog += r.cost
	t.backlog += r.cost
	t.waiting++
	f.deadlines.push(r)
	f.costs.push(r)
	t.useful.push(r)
	t.update(f)
}

// remove takes a request out of the order.
func (t *tierOrder) remove(r *request) {
	f := r.flow
	if r.byDeadline >= 0 {
		f.deadlines.remove(int(r.byDeadline))
	}
	f.costs.remove(int(r.byCost))
	t.useful.remove(int(r.byUseful))
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
	t.update(f)
	if f.costs.len() == 0 && f.start <= t.virtual {
		delete(t.flows, f.team)
	}
	r.flow = nil
}

// hold takes a request out of the order of grants until release. It still waits.
func (t *tierOrder) hold(r *request) {
	r.held = true
	r.flow.deadlines.remove(int(r.byDeadline))
	t.held = append(t.held, r)
	t.update(r.flow)
}

// release puts held requests back.
func (t *tierOrder) release() {
	for _, r := range t.held {
		r.held = false
		r.flow.deadlines.push(r)
		t.update(r.flow)
	}
	t.held = t.held[:0]
}

// charge accounts a granted request to its team.
func (t *tierOrder) charge(f *flow, cost int64) {
	t.virtual = max(t.virtual, f.start)
	f.start += float64(cost) / f.weight
}

// update restores a flow's places after its start, backlog or members have changed.
func (t *tierOrder) update(f *flow) {
	place(&t.starts, f, f.byStart, f.deadlines.len() > 0)
	place(&t.excesses, f, f.byExcess, f.costs.len() > 0)
}

func place(h *heap[*flow], f *flow, index int, member bool) {
	switch {
	case member && index < 0:
		h.push(f)
	case member:
		h.fix(index)
	case index >= 0:
		h.remove(index)
	}
}

// reweigh applies changed weights.
func (t *tierOrder) reweigh(weight func(model.TeamID) float64) {
	for _, f := range t.flows {
		f.weight = weight(f.team)
		t.update(f)
	}
}
