package dispatcher

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// instance is an entry instance with the messages on their way to and from it.
type instance struct {
	id          model.InstanceID
	waiting     map[model.RequestID]model.Descriptor
	outstanding map[model.RequestID]port.Outstanding
	epoch       model.Epoch
	sequence    uint64
	in, out     []any
	// down means that there is no connection.
	down bool
}

// receive handles the oldest message from the dispatcher as the entry service does.
func (i *instance) receive() {
	m := i.in[0]
	i.in = i.in[1:]
	switch m := m.(type) {
	case port.EventMessage:
		i.event(m.Event)
	case port.StateRequest:
		if m.Epoch > i.epoch || m.Epoch == i.epoch && m.Sequence > i.sequence {
			i.epoch, i.sequence = m.Epoch, m.Sequence
		}
		if s := i.state(); !m.Compare || m.Digest != s.Digest() {
			i.out = append(i.out, port.StateMessage{State: s})
		}
	}
}

func (i *instance) event(e port.DispatchEvent) {
	d, waits := i.waiting[e.ID]
	delete(i.waiting, e.ID)
	if e.Kind != port.DispatchGranted {
		return
	}
	i.epoch, i.sequence = e.Epoch, e.Sequence
	if waits {
		i.outstanding[e.ID] = port.Outstanding{Grant: e.Grant, Descriptor: d}
	} else if i.outstanding[e.ID].Grant != e.Grant {
		i.report(e.Grant, model.ProgressReturned)
	}
}

func (i *instance) report(g model.Grant, kind model.ProgressKind) {
	i.out = append(i.out, port.ReportMessage{Progress: model.Progress{
		Request: g.Request, Pool: g.Pool, Server: g.Server, Epoch: g.Epoch, Kind: kind, Tokens: 5,
		FirstToken: 20 * time.Millisecond, PerToken: time.Millisecond,
	}})
}

func byID(a, b model.RequestID) int { return cmp.Compare(a.Seq, b.Seq) }

func (i *instance) state() port.EntryState {
	s := port.EntryState{Pool: "m", Epoch: i.epoch, Sequence: i.sequence}
	for _, id := range slices.SortedFunc(maps.Keys(i.waiting), byID) {
		s.Waiting = append(s.Waiting, i.waiting[id])
	}
	for _, id := range slices.SortedFunc(maps.Keys(i.outstanding), byID) {
		s.Outstanding = append(s.Outstanding, i.outstanding[id])
	}
	return s
}

// lossyFleet is a dispatcher with three instances and connections that lose messages.
type lossyFleet struct {
	port.Peers
	service   *Service
	instances []*instance
	now       time.Time
	seq       uint64
}

func (f *lossyFleet) Send(to model.InstanceID, _ string, body any) error {
	for _, i := range f.instances {
		if i.id == to && !i.down {
			i.in = append(i.in, body)
			return nil
		}
	}
	return &fault.PeerUnreachable{Instance: to}
}

func newLossyFleet() *lossyFleet {
	f := &lossyFleet{service: New(event.New(slog.New(slog.DiscardHandler))), now: time.Unix(1_000_000, 0)}
	f.service.peers, f.service.self = f, "i0"
	view := &model.View{Settled: true}
	for n := range 3 {
		id := model.InstanceID(fmt.Sprint("i", n))
		view.Instances = append(view.Instances, model.Instance{ID: id, Incarnation: 1})
		view.Servers = append(view.Servers, model.BackendServer{
			ID: model.BackendServerID(fmt.Sprint("s", n)), Incarnation: 1, Slots: 2, Pools: []model.PoolID{"m"}})
		f.instances = append(f.instances, &instance{
			id: id, waiting: make(map[model.RequestID]model.Descriptor), outstanding: make(map[model.RequestID]port.Outstanding)})
	}
	f.service.handle(f.now, configured{&model.Config{Pools: map[model.PoolID]model.Pool{"m": {ID: "m"}}}})
	f.service.handle(f.now, viewed{view})
	f.service.handle(f.now, leases{[]port.Lease{{Name: port.LeaseName("m"), Holder: "i0", Epoch: 1}}})
	f.deliver()
	return f
}

func (f *lossyFleet) toDispatcher(i *instance) {
	m := i.out[0]
	i.out = i.out[1:]
	f.service.handle(f.now, received{port.PeerMessage{From: i.id, Incarnation: 1, Body: m}})
}

// deliver delivers until nothing is on its way.
func (f *lossyFleet) deliver() {
	for again := true; again; {
		again = false
		for _, i := range f.instances {
			for len(i.in) > 0 {
				i.receive()
				again = true
			}
			for len(i.out) > 0 {
				f.toDispatcher(i)
				again = true
			}
		}
	}
}

func (f *lossyFleet) tick(d time.Duration) {
	f.now = f.now.Add(d)
	f.service.onTick(f.now)
}

func (f *lossyFleet) step(t *rapid.T, silent bool) {
	i := rapid.SampledFrom(f.instances).Draw(t, "instance")
	switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
	case step <= 2:
		f.seq++
		d := model.Descriptor{
			ID: model.RequestID{Instance: i.id, Incarnation: 1, Seq: f.seq}, Pool: "m", Tier: model.Standard,
			Arrived: f.now, Deadline: f.now.Add(time.Hour), PromptTokens: 10, OutputTokens: 5,
		}
		i.waiting[d.ID] = d
		i.out = append(i.out, port.RegisterMessage{Descriptor: d})
	case step == 3 && len(i.in) > 0:
		i.receive()
	case step == 4 && len(i.out) > 0:
		f.toDispatcher(i)
	case step == 5 && len(i.outstanding) > 0:
		id := rapid.SampledFrom(slices.SortedFunc(maps.Keys(i.outstanding), byID)).Draw(t, "finished")
		g := i.outstanding[id].Grant
		delete(i.outstanding, id)
		i.report(g, model.ProgressFinished)
	case step == 6 && len(i.waiting) > 0:
		id := rapid.SampledFrom(slices.SortedFunc(maps.Keys(i.waiting), byID)).Draw(t, "withdrawn")
		delete(i.waiting, id)
		i.out = append(i.out, port.WithdrawMessage{Pool: "m", Request: id})
	case step == 7 && silent:
		i.in = i.in[:len(i.in)/2]
		i.out = i.out[:len(i.out)/2]
	case step == 7 && i.down:
		i.down = false
		f.service.handle(f.now, reset{i.id})
	case step == 7:
		i.down = true
		i.in, i.out = nil, nil
	default:
		f.tick(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
	}
}

func (f *lossyFleet) check(t *rapid.T) {
	p := f.service.pools["m"]
	for _, i := range f.instances {
		s := i.state()
		if p.decide.Digest(i.id) != s.Digest() {
			waiting, outstanding := p.decide.Counts()
			t.Fatalf("%s has %d waiting and %d outstanding and differs from the dispatcher, which has %d and %d in all",
				i.id, len(s.Waiting), len(s.Outstanding), waiting, outstanding)
		}
	}
}

// Guards against a request that waits or counts as outstanding for ever, because a message
// about it was lost when a connection was replaced: after the report of the loss nothing but
// the delivery of messages is needed.
func TestReportedLossIsMadeUpFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLossyFleet()
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			f.step(t, false)
		}
		for _, i := range f.instances {
			if i.down {
				i.down = false
				f.service.handle(f.now, reset{i.id})
			}
		}
		f.tick(tick)
		f.deliver()
		f.check(t)
	})
}

// Guards against a loss that nothing reports and that lasts longer than the interval of the
// comparisons.
func TestUnreportedLossIsFoundByComparison(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLossyFleet()
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			f.step(t, true)
		}
		for range 4 * int(compareEvery/time.Second) / 3 {
			f.deliver()
			f.tick(time.Second)
		}
		f.deliver()
		f.check(t)
	})
}

// Guards against a request for the state of a new instance that is lost because its
// connection is not open yet: its waiting requests would not be known.
func TestNewInstanceIsAskedOnceItIsReachable(t *testing.T) {
	f := newLossyFleet()
	d := model.Descriptor{
		ID: model.RequestID{Instance: "i3", Incarnation: 1, Seq: 1}, Pool: "m", Tier: model.Standard,
		Arrived: f.now, Deadline: f.now.Add(time.Hour), PromptTokens: 10, OutputTokens: 5,
	}
	added := &instance{
		id: "i3", down: true, waiting: map[model.RequestID]model.Descriptor{d.ID: d},
		outstanding: make(map[model.RequestID]port.Outstanding),
	}
	f.instances = append(f.instances, added)
	view := *f.service.view
	view.Instances = append(slices.Clone(view.Instances), model.Instance{ID: "i3", Incarnation: 1})
	f.service.handle(f.now, viewed{&view})
	f.tick(tick)
	added.down = false
	f.tick(tick)
	f.deliver()
	if len(added.outstanding) != 1 {
		t.Fatal("the waiting request of the new instance was not granted")
	}
}
