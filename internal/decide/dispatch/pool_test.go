package dispatch_test

import (
	"fmt"
	"time"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

var epoch = time.Unix(1_000_000, 0)

// poolModel is a pool under test with a reference model of what it should contain.
type poolModel struct {
	now           time.Time
	newLimiter    fleet.NewLaw
	pool          *dispatch.Pool
	config        *model.Config
	servers       []model.BackendServer
	waiting       map[model.RequestID]model.Descriptor
	outstanding   map[model.RequestID]dispatch.Outstanding
	grantCount    map[model.RequestID]int
	allowedGrants map[model.RequestID]int
	seq           uint64
	epoch         model.Epoch
	lastSequence  map[model.InstanceID]uint64
	log           []string
	// keyed gives some requests one of two idempotency keys.
	keyed bool
}

func newPoolModel(maxWaiting int) *poolModel {
	m := &poolModel{
		now: epoch, epoch: 1, newLimiter: fleet.NewGradient,
		waiting:       make(map[model.RequestID]model.Descriptor),
		outstanding:   make(map[model.RequestID]dispatch.Outstanding),
		grantCount:    make(map[model.RequestID]int),
		lastSequence:  make(map[model.InstanceID]uint64),
		allowedGrants: make(map[model.RequestID]int),
	}
	m.config = &model.Config{
		Teams:        map[model.TeamID]model.Team{"a": {ID: "a", Weight: 1}, "b": {ID: "b", Weight: 3}},
		Pools:        map[model.PoolID]model.Pool{"m": {ID: "m", MaxWaiting: maxWaiting}},
		MinimumShare: [model.TierCount]float64{0, 0.05, 0.05, 0.05},
	}
	for i := range 3 {
		m.servers = append(m.servers, model.BackendServer{
			ID: model.BackendServerID(fmt.Sprint("s", i)), Incarnation: 1, Slots: 2 + i, Pools: []model.PoolID{"m"},
		})
	}
	m.pool = dispatch.NewPoolWith("m", m.epoch, nil, m.newLimiter, 7)
	m.pool.SetConfig(m.now, m.config)
	m.pool.SetServers(m.now, m.servers)
	return m
}

// checkDecisions checks each new decision against the model and applies it.
func (m *poolModel) checkDecisions(t interface{ Fatalf(string, ...any) }) {
	for _, d := range m.pool.Take() {
		id := d.Descriptor.ID
		m.log = append(m.log, fmt.Sprint(d.Kind, id, d.Grant.Server))
		if _, ok := m.waiting[id]; !ok {
			t.Fatalf("decision %d about %s, which does not wait", d.Kind, id)
		}
		delete(m.waiting, id)
		switch d.Kind {
		case dispatch.Granted:
			m.grantCount[id]++
			m.lastSequence[id.Instance] = d.Sequence
			if m.grantCount[id] > m.allowedGrants[id] {
				t.Fatalf("%s granted %d times", id, m.grantCount[id])
			}
			for _, o := range m.outstanding {
				if !d.Descriptor.Key.IsZero() && o.Descriptor.Key == d.Descriptor.Key {
					t.Fatalf("%s granted while %s has its key and is outstanding", id, o.Descriptor.ID)
				}
			}
			m.outstanding[id] = dispatch.Outstanding{Grant: d.Grant, Descriptor: d.Descriptor}
			m.checkWindow(t, d.Grant.Server)
		case dispatch.DeadlineUnreachable, dispatch.NoServer, dispatch.Duplicate:
		case dispatch.Shed:
			if d.Reason == "too many requests wait for the same key" {
				// It was a follower, shed by the bound on followers, and occupied no place that a
				// request of a lower tier could free.
				continue
			}
			for _, o := range m.waiting {
				if o.Tier > d.Descriptor.Tier && o.Key != d.Descriptor.Key && m.isQueued(o) ||
					o.Tier > d.Descriptor.Tier && o.Key.IsZero() {
					t.Fatalf("%s of tier %s shed while %s of tier %s waits", id, d.Descriptor.Tier, o.ID, o.Tier)
				}
			}
		}
	}
}

// isQueued reports whether a waiting request occupies a place in the queue. A follower of
// another request with its key occupies none, so shedding it would free no place.
func (m *poolModel) isQueued(d model.Descriptor) bool {
	if d.Key.IsZero() {
		return true
	}
	for _, o := range m.outstanding {
		if o.Descriptor.Key == d.Key {
			return false
		}
	}
	for _, o := range m.waiting {
		if o.Key == d.Key && o.Tier < d.Tier {
			return false
		}
	}
	return true
}

func (m *poolModel) checkWindow(t interface{ Fatalf(string, ...any) }, id model.BackendServerID) {
	n := 0
	for _, o := range m.outstanding {
		if o.Grant.Server == id {
			n++
		}
	}
	for _, s := range m.servers {
		if s.ID == id && n > s.Slots {
			t.Fatalf("%d requests on %s, which has %d slots", n, id, s.Slots)
		}
	}
}

// checkCounts compares the pool's counts with the model, exactly if no request has a key.
func (m *poolModel) checkCounts(t interface{ Fatalf(string, ...any) }) {
	waiting, outstanding := m.pool.Counts()
	if m.keyed {
		// Followers of a request with their key are not counted as waiting.
		if outstanding != len(m.outstanding) || waiting > len(m.waiting) {
			t.Fatalf("pool counts %d waiting and %d outstanding, want at most %d and exactly %d",
				waiting, outstanding, len(m.waiting), len(m.outstanding))
		}
		return
	}
	if outstanding != len(m.outstanding) || m.pool.Ready() && waiting != len(m.waiting) {
		t.Fatalf("pool counts %d waiting and %d outstanding, want %d and %d",
			waiting, outstanding, len(m.waiting), len(m.outstanding))
	}
	var demand [model.TierCount]int
	for _, d := range m.waiting {
		demand[d.Tier]++
	}
	for _, o := range m.outstanding {
		demand[o.Descriptor.Tier]++
	}
	if m.pool.Ready() && m.pool.Demand() != demand {
		t.Fatalf("demand by tier is %v, want %v", m.pool.Demand(), demand)
	}
}

func (m *poolModel) register(tier model.Tier, team model.TeamID, prompt int, timeout time.Duration) model.Descriptor {
	m.seq++
	d := model.Descriptor{
		ID:   model.RequestID{Instance: model.InstanceID(fmt.Sprint("i", m.seq%3)), Incarnation: 1, Seq: m.seq},
		Pool: "m", Team: team, Tier: tier, Arrived: m.now, Deadline: m.now.Add(timeout),
		PromptTokens: prompt, OutputTokens: 1 + prompt/4,
	}
	if m.keyed && m.seq%3 > 0 {
		d.Key = model.KeyHash{byte(m.seq % 3)}
	}
	m.waiting[d.ID] = d
	m.allowedGrants[d.ID] = 1
	m.pool.Register(m.now, d)
	return d
}

func (m *poolModel) finish(id model.RequestID, kind model.ProgressKind) {
	g := m.outstanding[id].Grant
	p := model.Progress{
		Request: id, Server: g.Server, Epoch: g.Epoch, Kind: kind,
		FirstToken: 50 * time.Millisecond, PerToken: 10 * time.Millisecond, Tokens: 20,
	}
	delete(m.outstanding, id)
	m.pool.Report(m.now, p)
	// A repeated report must have no effect.
	m.pool.Report(m.now, p)
}

// instanceState lists the waiting and outstanding requests of an instance.
func (m *poolModel) instanceState(i model.InstanceID) (waiting []model.Descriptor, outstanding []dispatch.Outstanding) {
	for _, id := range sorted(m.waiting) {
		if id.Instance == i {
			waiting = append(waiting, m.waiting[id])
		}
	}
	for _, id := range sorted(m.outstanding) {
		if id.Instance == i {
			outstanding = append(outstanding, m.outstanding[id])
		}
	}
	return waiting, outstanding
}

// loseMessages ends the first waiting and the first outstanding request of an instance
// without telling the pool, and reconciles the pool with the instance's state.
func (m *poolModel) loseMessages(i model.InstanceID) {
	waiting, outstanding := m.instanceState(i)
	if len(waiting) > 0 {
		delete(m.waiting, waiting[0].ID)
		waiting = waiting[1:]
	}
	if len(outstanding) > 0 {
		delete(m.outstanding, outstanding[0].Grant.Request)
		outstanding = outstanding[1:]
	}
	m.pool.Reconcile(m.now, i, m.lastSequence[i], waiting, outstanding)
}

// replaceDispatcher creates a pool for a new dispatcher. A registration arrives before the
// resyncs, and one resync arrives twice.
func (m *poolModel) replaceDispatcher(t interface{ Fatalf(string, ...any) }) {
	m.epoch++
	clear(m.lastSequence)
	instances := []model.InstanceID{"i0", "i1", "i2"}
	m.pool = dispatch.NewPoolWith("m", m.epoch, instances, m.newLimiter, 7)
	m.pool.SetConfig(m.now, m.config)
	m.pool.SetServers(m.now, m.servers)
	m.register(model.Urgent, "a", 100, time.Minute)
	for n, i := range append(instances, "i1") {
		waiting, outstanding := m.instanceState(i)
		m.pool.Resync(m.now, i, waiting, outstanding)
		if n < len(instances)-1 && len(m.pool.Take()) > 0 {
			t.Fatalf("decided before every instance had resynced")
		}
		m.checkDecisions(t)
	}
	m.checkCounts(t)
}
