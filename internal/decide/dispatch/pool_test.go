package dispatch_test

import (
	"fmt"
	"time"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

var epoch = time.Unix(1_000_000, 0)

// world is a trace with its own account of what the pool should know.
type world struct {
	now         time.Time
	law         fleet.NewLaw
	pool        *dispatch.Pool
	config      *model.Config
	servers     []model.BackendServer
	waiting     map[model.RequestID]model.Descriptor
	outstanding map[model.RequestID]dispatch.Outstanding
	granted     map[model.RequestID]int
	permitted   map[model.RequestID]int
	seq         uint64
	epoch       model.Epoch
	seen        map[model.InstanceID]uint64
	log         []string
	// keyed gives some requests one of two idempotency keys.
	keyed bool
}

func newWorld(maxWaiting int) *world {
	w := &world{
		now: epoch, epoch: 1, law: fleet.NewGradient,
		waiting:     make(map[model.RequestID]model.Descriptor),
		outstanding: make(map[model.RequestID]dispatch.Outstanding),
		granted:     make(map[model.RequestID]int),
		seen:        make(map[model.InstanceID]uint64),
		permitted:   make(map[model.RequestID]int),
	}
	w.config = &model.Config{
		Teams:        map[model.TeamID]model.Team{"a": {ID: "a", Weight: 1}, "b": {ID: "b", Weight: 3}},
		Pools:        map[model.PoolID]model.Pool{"m": {ID: "m", MaxWaiting: maxWaiting}},
		MinimumShare: [model.TierCount]float64{0, 0.05, 0.05, 0.05},
	}
	for i := range 3 {
		w.servers = append(w.servers, model.BackendServer{
			ID: model.BackendServerID(fmt.Sprint("s", i)), Incarnation: 1, Slots: 2 + i, Pools: []model.PoolID{"m"},
		})
	}
	w.pool = dispatch.NewPoolWith("m", w.epoch, nil, w.law, 7)
	w.pool.SetConfig(w.now, w.config)
	w.pool.SetServers(w.now, w.servers)
	return w
}

// take checks each decision against the world's account.
func (w *world) take(t interface{ Fatalf(string, ...any) }) {
	for _, d := range w.pool.Take() {
		id := d.Descriptor.ID
		w.log = append(w.log, fmt.Sprint(d.Kind, id, d.Grant.Server))
		if _, ok := w.waiting[id]; !ok {
			t.Fatalf("decision %d about %s, which does not wait", d.Kind, id)
		}
		delete(w.waiting, id)
		switch d.Kind {
		case dispatch.Granted:
			w.granted[id]++
			w.seen[id.Instance] = d.Sequence
			if w.granted[id] > w.permitted[id] {
				t.Fatalf("%s granted %d times", id, w.granted[id])
			}
			for _, o := range w.outstanding {
				if !d.Descriptor.Key.IsZero() && o.Descriptor.Key == d.Descriptor.Key {
					t.Fatalf("%s granted while %s has its key and is outstanding", id, o.Descriptor.ID)
				}
			}
			w.outstanding[id] = dispatch.Outstanding{Grant: d.Grant, Descriptor: d.Descriptor}
			w.checkWindow(t, d.Grant.Server)
		case dispatch.DeadlineUnreachable, dispatch.NoServer, dispatch.Duplicate:
		case dispatch.Shed:
			if d.Reason == "too many requests wait for the same key" {
				// It followed another request, under the bound of followers, and had no place
				// that a lower tier's request could give up.
				continue
			}
			for _, o := range w.waiting {
				if o.Tier > d.Descriptor.Tier && o.Key != d.Descriptor.Key && w.holdsPlace(o) ||
					o.Tier > d.Descriptor.Tier && o.Key.IsZero() {
					t.Fatalf("%s of tier %s shed while %s of tier %s waits", id, d.Descriptor.Tier, o.ID, o.Tier)
				}
			}
		}
	}
}

// holdsPlace reports whether a waiting request takes a place in the order. One that follows
// another request with its key takes none, so shedding it would make no room.
func (w *world) holdsPlace(d model.Descriptor) bool {
	if d.Key.IsZero() {
		return true
	}
	for _, o := range w.outstanding {
		if o.Descriptor.Key == d.Key {
			return false
		}
	}
	for _, o := range w.waiting {
		if o.Key == d.Key && o.Tier < d.Tier {
			return false
		}
	}
	return true
}

func (w *world) checkWindow(t interface{ Fatalf(string, ...any) }, id model.BackendServerID) {
	n := 0
	for _, o := range w.outstanding {
		if o.Grant.Server == id {
			n++
		}
	}
	for _, s := range w.servers {
		if s.ID == id && n > s.Slots {
			t.Fatalf("%d requests on %s, which has %d slots", n, id, s.Slots)
		}
	}
}

// checkCounts compares the pool's counts; keyless requests make the account exact.
func (w *world) checkCounts(t interface{ Fatalf(string, ...any) }) {
	waiting, outstanding := w.pool.Counts()
	if w.keyed {
		// A request may follow another one with its key, which the counts leave out.
		if outstanding != len(w.outstanding) || waiting > len(w.waiting) {
			t.Fatalf("pool counts %d waiting and %d outstanding, want at most %d and exactly %d",
				waiting, outstanding, len(w.waiting), len(w.outstanding))
		}
		return
	}
	if outstanding != len(w.outstanding) || w.pool.Ready() && waiting != len(w.waiting) {
		t.Fatalf("pool counts %d waiting and %d outstanding, want %d and %d",
			waiting, outstanding, len(w.waiting), len(w.outstanding))
	}
	var demand [model.TierCount]int
	for _, d := range w.waiting {
		demand[d.Tier]++
	}
	for _, o := range w.outstanding {
		demand[o.Descriptor.Tier]++
	}
	if w.pool.Ready() && w.pool.Demand() != demand {
		t.Fatalf("demand by tier is %v, want %v", w.pool.Demand(), demand)
	}
}

func (w *world) register(tier model.Tier, team model.TeamID, prompt int, timeout time.Duration) model.Descriptor {
	w.seq++
	d := model.Descriptor{
		ID:   model.RequestID{Instance: model.InstanceID(fmt.Sprint("i", w.seq%3)), Incarnation: 1, Seq: w.seq},
		Pool: "m", Team: team, Tier: tier, Arrived: w.now, Deadline: w.now.Add(timeout),
		PromptTokens: prompt, OutputTokens: 1 + prompt/4,
	}
	if w.keyed && w.seq%3 > 0 {
		d.Key = model.KeyHash{byte(w.seq % 3)}
	}
	w.waiting[d.ID] = d
	w.permitted[d.ID] = 1
	w.pool.Register(w.now, d)
	return d
}

func (w *world) finish(id model.RequestID, kind model.ProgressKind) {
	g := w.outstanding[id].Grant
	p := model.Progress{
		Request: id, Server: g.Server, Epoch: g.Epoch, Kind: kind,
		FirstToken: 50 * time.Millisecond, PerToken: 10 * time.Millisecond, Tokens: 20,
	}
	delete(w.outstanding, id)
	w.pool.Report(w.now, p)
	// A repeat must change nothing.
	w.pool.Report(w.now, p)
}

// state lists what an instance has.
func (w *world) state(i model.InstanceID) (waiting []model.Descriptor, outstanding []dispatch.Outstanding) {
	for _, id := range sorted(w.waiting) {
		if id.Instance == i {
			waiting = append(waiting, w.waiting[id])
		}
	}
	for _, id := range sorted(w.outstanding) {
		if id.Instance == i {
			outstanding = append(outstanding, w.outstanding[id])
		}
	}
	return waiting, outstanding
}

// loseReports ends the first waiting and the first outstanding request of an instance
// without news of it, and sends the instance's state instead.
func (w *world) loseReports(i model.InstanceID) {
	waiting, outstanding := w.state(i)
	if len(waiting) > 0 {
		delete(w.waiting, waiting[0].ID)
		waiting = waiting[1:]
	}
	if len(outstanding) > 0 {
		delete(w.outstanding, outstanding[0].Grant.Request)
		outstanding = outstanding[1:]
	}
	w.pool.Reconcile(w.now, i, w.seen[i], waiting, outstanding)
}

// replace starts another dispatcher; some messages arrive before the resyncs and one
// resync arrives twice.
func (w *world) replace(t interface{ Fatalf(string, ...any) }) {
	w.epoch++
	clear(w.seen)
	instances := []model.InstanceID{"i0", "i1", "i2"}
	w.pool = dispatch.NewPoolWith("m", w.epoch, instances, w.law, 7)
	w.pool.SetConfig(w.now, w.config)
	w.pool.SetServers(w.now, w.servers)
	w.register(model.Urgent, "a", 100, time.Minute)
	for n, i := range append(instances, "i1") {
		waiting, outstanding := w.state(i)
		w.pool.Resync(w.now, i, waiting, outstanding)
		if n < len(instances)-1 && len(w.pool.Take()) > 0 {
			t.Fatalf("decided before every instance had resynced")
		}
		w.take(t)
	}
	w.checkCounts(t)
}
