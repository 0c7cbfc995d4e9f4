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

// engines stands in for the engine client and answers no order.
type engines struct{ calls []port.OrderCall }

func (e *engines) Order(c port.OrderCall, _ func(decide.Outcome, error)) {
	e.calls = append(e.calls, c)
}

// serving returns a service with an engine for each list of models, and pools a and b.
func serving(models ...[]model.PoolID) (*Service, *engines, *model.View) {
	s, e := New(event.New(slog.New(slog.DiscardHandler)), metric.NewSet()), &engines{}
	s.self, s.client = "i1", e
	view := &model.View{Settled: true}
	for i, m := range models {
		view.Servers = append(view.Servers, model.BackendServer{
			ID: model.BackendServerID(rune('1' + i)), Domain: "d", Pools: m, Slots: 1, ChecksFencing: true,
			Order: model.AnnouncedOrder{State: model.OrderNone},
		})
	}
	s.handle(time.Now(), configured{&model.Config{
		Placement: &model.Placement{LoadsAtOnce: 9, ModelsPerEngine: 1, Settle: time.Nanosecond, Hold: time.Nanosecond},
		Pools:     map[model.PoolID]model.Pool{"a": {ID: "a", ServersPerDomain: 1}, "b": {ID: "b", ServersPerDomain: 1}},
	}})
	return s, e, view
}

func lease(holder model.InstanceID, left time.Duration, lapsed bool) leased {
	return leased{[]port.Lease{{
		Name: port.PlacementLease, Holder: holder, Epoch: 3, Lapsed: lapsed, Until: time.Now().Add(left),
	}}}
}

// ticks lets shortages settle and decides.
func ticks(s *Service) {
	for range 3 {
		time.Sleep(time.Millisecond)
		s.onTick(time.Now())
	}
}

// Guards against orders without a valid lease, and from a picture of the fleet in which
// engines may be missing.
func TestOrdersNeedALeaseAndASettledView(t *testing.T) {
	for name, c := range map[string]struct {
		lease   leased
		settled bool
		want    int
	}{
		"held":         {lease("i1", time.Hour, false), true, 1},
		"not settled":  {lease("i1", time.Hour, false), false, 0},
		"another's":    {lease("i2", time.Hour, false), true, 0},
		"lapsed":       {lease("i1", time.Hour, true), true, 0},
		"time is over": {lease("i1", -time.Millisecond, false), true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, e, view := serving(nil)
			view.Settled = c.settled
			s.handle(time.Now(), viewed{view})
			s.handle(time.Now(), c.lease)
			ticks(s)
			g.Expect(e.calls).To(HaveLen(c.want))
			for _, call := range e.calls {
				g.Expect(call.Order.ID.Epoch).To(Equal(model.Epoch(3)))
				g.Expect(call.Until).To(Equal(c.lease.leases[0].Until))
			}
		})
	}
}

// Guards against a demand that does not reach the decisions: without it no engine is ever
// taken from a pool.
func TestDemandOfDispatchersAllowsAChange(t *testing.T) {
	g := NewWithT(t)
	s, e, view := serving([]model.PoolID{"a"}, []model.PoolID{"a"})
	s.handle(time.Now(), viewed{view})
	s.handle(time.Now(), lease("i1", time.Hour, false))
	ticks(s)
	g.Expect(e.calls).To(BeEmpty(), "the demand of pool a is unknown")
	s.handle(time.Now(), received{port.PeerMessage{Body: port.DemandMessage{Pool: "a"}}})
	ticks(s)
	g.Expect(e.calls).To(HaveLen(1))
	g.Expect(e.calls[0].Order.Kind).To(Equal(model.UnloadModel))
}

// Guards against an order that stays in phase sending for ever, and against one that is given
// twice, when its result is lost or comes back.
func TestResultsReachTheDecisions(t *testing.T) {
	g := NewWithT(t)
	s, e, view := serving(nil)
	s.handle(time.Now(), viewed{view})
	s.handle(time.Now(), lease("i1", time.Hour, false))
	ticks(s)
	g.Expect(e.calls).To(HaveLen(1))
	g.Expect(s.machine.State().Orders[0].Phase).To(Equal("sending"))
	s.handle(time.Now(), resulted{e.calls[0].Order.ID, decide.Unknown, nil})
	ticks(s)
	g.Expect(s.machine.State().Orders[0].Phase).To(Equal("unknown"))
	g.Expect(e.calls).To(HaveLen(1))
}

// Guards against a holder that never acts because its lease was published before the view was settled: a
// fleet of one instance gets its leases once. On a busy machine the two come in either order.
func TestLeaseBeforeASettledViewCounts(t *testing.T) {
	g := NewWithT(t)
	s, e, view := serving(nil)
	s.handle(time.Now(), lease("i1", time.Hour, false))
	s.handle(time.Now(), viewed{view})
	ticks(s)
	g.Expect(e.calls).To(HaveLen(1))
}
