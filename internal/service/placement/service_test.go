package placement

import (
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	decide "briaryard/internal/decide/placement"
	"briaryard/internal/event"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// fakeOrderClient stands in for the engine client and answers no order.
type fakeOrderClient struct{ calls []port.OrderCall }

func (e *fakeOrderClient) Order(c port.OrderCall, _ func(decide.Outcome, error)) {
	e.calls = append(e.calls, c)
}

// newService returns a service with the pools a and b configured, and a view with an engine for
// each list of models.
func newService(models ...[]model.PoolID) (*Service, *fakeOrderClient, *model.View) {
	s, e := New(event.New(slog.New(slog.DiscardHandler)), metric.NewSet()), &fakeOrderClient{}
	s.self, s.client = "i1", e
	view := &model.View{Settled: true}
	for i, m := range models {
		view.Servers = append(view.Servers, model.BackendServer{
			ID: model.BackendServerID(rune('1' + i)), Domain: "d", Pools: m, Slots: 1, ChecksFencing: true,
			Order: model.AnnouncedOrder{State: model.OrderNone},
		})
	}
	s.handle(time.Now(), configChanged{&model.Config{
		Placement: &model.Placement{LoadsAtOnce: 9, ModelsPerEngine: 1, Settle: time.Nanosecond, Hold: time.Nanosecond},
		Pools:     map[model.PoolID]model.Pool{"a": {ID: "a", ServersPerDomain: 1}, "b": {ID: "b", ServersPerDomain: 1}},
	}})
	return s, e, view
}

func leaseTable(holder model.InstanceID, left time.Duration, lapsed bool) leasesChanged {
	return leasesChanged{[]port.Lease{{
		Name: port.PlacementLease, Holder: holder, Epoch: 3, Lapsed: lapsed, Until: time.Now().Add(left),
	}}}
}

// runTicks runs enough ticks for shortages to settle and decisions to be made.
func runTicks(s *Service) {
	for range 3 {
		time.Sleep(time.Millisecond)
		s.onTick(time.Now())
	}
}

// Guards against orders without a valid lease, and against orders based on a view in which engines
// may be missing.
func TestOrdersNeedALeaseAndASettledView(t *testing.T) {
	for name, c := range map[string]struct {
		lease   leasesChanged
		settled bool
		want    int
	}{
		"held":          {leaseTable("i1", time.Hour, false), true, 1},
		"not settled":   {leaseTable("i1", time.Hour, false), false, 0},
		"another's":     {leaseTable("i2", time.Hour, false), true, 0},
		"lapsed":        {leaseTable("i1", time.Hour, true), true, 0},
		"lease expired": {leaseTable("i1", -time.Millisecond, false), true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, e, view := newService(nil)
			view.Settled = c.settled
			s.handle(time.Now(), viewChanged{view})
			s.handle(time.Now(), c.lease)
			runTicks(s)
			g.Expect(e.calls).To(HaveLen(c.want))
			for _, call := range e.calls {
				g.Expect(call.Order.ID.Epoch).To(Equal(model.Epoch(3)))
				g.Expect(call.Until).To(Equal(c.lease.leases[0].Until))
			}
		})
	}
}

// Guards against demand reports that do not reach the decisions: without them no engine is ever
// removed from a pool.
func TestDemandOfDispatchersAllowsAChange(t *testing.T) {
	g := NewWithT(t)
	s, e, view := newService([]model.PoolID{"a"}, []model.PoolID{"a"})
	s.handle(time.Now(), viewChanged{view})
	s.handle(time.Now(), leaseTable("i1", time.Hour, false))
	runTicks(s)
	g.Expect(e.calls).To(BeEmpty(), "the demand of pool a is unknown")
	s.handle(time.Now(), peerMessage{port.PeerMessage{Body: port.DemandMessage{Pool: "a"}}})
	runTicks(s)
	g.Expect(e.calls).To(HaveLen(1))
	g.Expect(e.calls[0].Order.Kind).To(Equal(model.UnloadModel))
}

// Guards against an order that stays in the phase "sending" forever, and against one that is given
// twice, when its result is lost or arrives.
func TestResultsReachTheDecisions(t *testing.T) {
	g := NewWithT(t)
	s, e, view := newService(nil)
	s.handle(time.Now(), viewChanged{view})
	s.handle(time.Now(), leaseTable("i1", time.Hour, false))
	runTicks(s)
	g.Expect(e.calls).To(HaveLen(1))
	g.Expect(s.machine.State().Orders[0].Phase).To(Equal("sending"))
	s.handle(time.Now(), orderResult{e.calls[0].Order.ID, decide.Unknown, nil})
	runTicks(s)
	g.Expect(s.machine.State().Orders[0].Phase).To(Equal("unknown"))
	g.Expect(e.calls).To(HaveLen(1))
}

// Guards against a holder that never gives orders because its lease was published before the view
// settled: a fleet of one instance receives its leases only once. On a busy machine the two events
// come in either order.
func TestLeaseBeforeASettledViewCounts(t *testing.T) {
	g := NewWithT(t)
	s, e, view := newService(nil)
	s.handle(time.Now(), leaseTable("i1", time.Hour, false))
	s.handle(time.Now(), viewChanged{view})
	runTicks(s)
	g.Expect(e.calls).To(HaveLen(1))
}
