package dispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/model"
)

// Guards against a request that counts as outstanding forever because its final report was
// lost, and against the removal of a grant that is still in transit.
func TestReconcileRemovesOnlyWhatTheInstanceHasEnded(t *testing.T) {
	for _, c := range []struct {
		name              string
		seen              uint64
		listWaiting, list bool
		want              int
	}{
		{"final report lost", 1, false, false, 0},
		{"grant on its way", 0, true, false, 1},
		{"in progress", 1, false, true, 1},
		{"return lost, granted again", 1, true, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			m := newPoolModel(8)
			d := m.register(model.Standard, "a", 100, 1e10)
			out := m.pool.Take()
			g.Expect(out).To(HaveLen(1))
			g.Expect(out[0].Sequence).To(Equal(uint64(1)))
			var waiting []model.Descriptor
			var outstanding []dispatch.Outstanding
			if c.listWaiting {
				waiting = append(waiting, d)
			}
			if c.list {
				outstanding = append(outstanding, dispatch.Outstanding{Grant: out[0].Grant, Descriptor: d})
			}
			m.pool.Reconcile(m.now, d.ID.Instance, c.seen, waiting, outstanding)
			_, n := m.pool.Counts()
			g.Expect(n).To(Equal(c.want))
			if again := m.pool.Take(); c.listWaiting && c.seen > 0 {
				g.Expect(again).To(HaveLen(1), "a request whose return was lost is granted again")
			} else {
				g.Expect(again).To(BeEmpty())
			}
		})
	}
}

// Guards against a waiting request that stays in the queue after its withdrawal was lost.
func TestReconcileRemovesWithdrawnRequest(t *testing.T) {
	g := NewWithT(t)
	m := newPoolModel(8)
	m.pool.SetServers(m.now, nil)
	d := m.register(model.Standard, "a", 100, 1e10)
	m.pool.Reconcile(m.now, d.ID.Instance, 0, nil, nil)
	waiting, _ := m.pool.Counts()
	g.Expect(waiting).To(BeZero())
}
