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

// instance simulates an entry instance, with the messages in transit to and from it.
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

// lossyCluster is a dispatcher and three instances, with connections that lose messages.
type lossyCluster struct {
	port.Peers
	service   *Service
	instances []*instance
	now       time.Time
	seq       uint64
}

func (f *lossyCluster) Send(to model.InstanceID, _ string, body any) error {
	for _, i := range f.instances {
		if i.id == to && !i.down {
			i.in = append(i.in, body)
			return nil
		}
	}
	return &fault.PeerUnreachable{Instance: to}
}

func newLossyCluster() *lossyCluster {
	f := &lossyCluster{service: New(event.New(slog.New(slog.DiscardHandler))), now: time.Unix(1_000_000, 0)}
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
	f.service.handle(f.now, configChanged{&model.Config{Pools: map[model.PoolID]model.Pool{"m": {ID: "m"}}}})
	f.service.handle(f.now, viewChanged{view})
	f.service.handle(f.now, leasesChanged{[]port.Lease{{Name: port.LeaseName("m"), Holder: "i0", Epoch: 1}}})
	f.deliverAll()
	return f
}

func (f *lossyCluster) sendToDispatcher(i *instance) {
	m := i.out[0]
	i.out = i.out[1:]
	f.service.handle(f.now, peerMessage{port.PeerMessage{From: i.id, Incarnation: 1, Body: m}})
}

// deliverAll delivers messages until none is in transit.
func (f *lossyCluster) deliverAll() {
	for again := true; again; {
		again = false
		for _, i := range f.instances {
			for len(i.in) > 0 {
				i.receive()
				again = true
			}
			for len(i.out) > 0 {
				f.sendToDispatcher(i)
				again = true
			}
		}
	}
}

func (f *lossyCluster) tick(d time.Duration) {
	f.now = f.now.Add(d)
	f.service.onTick(f.now)
}

func (f *lossyCluster) step(t *rapid.T, silent bool) {
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
		f.sendToDispatcher(i)
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
		f.service.handle(f.now, peerReset{i.id})
	case step == 7:
		i.down = true
		i.in, i.out = nil, nil
	default:
		f.tick(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
	}
}

func (f *lossyCluster) check(t *rapid.T) {
	p := f.service.pools["m"]
	for _, i := range f.instances {
		s := i.state()
		if p.machine.Digest(i.id) != s.Digest() {
			waiting, outstanding := p.machine.Counts()
			t.Fatalf("instance %s has %d waiting and %d outstanding requests, and its digest differs from the dispatcher's; the dispatcher has %d and %d in total",
				i.id, len(s.Waiting), len(s.Outstanding), waiting, outstanding)
		}
	}
}

// Guards against a request that waits or counts as outstanding forever because a message about
// it was lost when a connection was replaced. Once the reset is reported, one tick and the
// delivery of all messages must restore the state.
func TestReportedLossIsMadeUpFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLossyCluster()
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			f.step(t, false)
		}
		for _, i := range f.instances {
			if i.down {
				i.down = false
				f.service.handle(f.now, peerReset{i.id})
			}
		}
		f.tick(tickInterval)
		f.deliverAll()
		f.check(t)
	})
}

// Guards against an unreported message loss that is not repaired within the comparison interval.
func TestUnreportedLossIsFoundByComparison(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLossyCluster()
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			f.step(t, true)
		}
		for range 4 * int(compareInterval/time.Second) / 3 {
			f.deliverAll()
			f.tick(time.Second)
		}
		f.deliverAll()
		f.check(t)
	})
}

// Guards against losing the request for the state of a new instance whose connection is not
// open yet: the dispatcher would not know its waiting requests.
func TestNewInstanceIsAskedOnceItIsReachable(t *testing.T) {
	f := newLossyCluster()
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
	f.service.handle(f.now, viewChanged{&view})
	f.tick(tickInterval)
	added.down = false
	f.tick(tickInterval)
	f.deliverAll()
	if len(added.outstanding) != 1 {
		t.Fatal("the waiting request of the new instance was not granted")
	}
}
