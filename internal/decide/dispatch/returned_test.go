package dispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/model"
)

// Guards against losing the requests of an instance that was only partitioned: after its
// return they were taken for ended, waited until their deadline and did not count as
// outstanding.
func TestStateOfAReturnedInstanceIsTaken(t *testing.T) {
	g := NewWithT(t)
	m := newPoolModel(8)
	granted := m.register(model.Standard, "a", 100, 1e10)
	grant := m.pool.Take()[0].Grant
	m.pool.SetServers(m.now, nil)
	waiting := granted
	waiting.ID.Seq = 99
	m.pool.Register(m.now, waiting)
	m.pool.InstanceGone(m.now, granted.ID.Instance, 1)
	n, outstanding := m.pool.Counts()
	g.Expect(n + outstanding).To(BeZero())
	m.pool.Register(m.now, waiting)
	n, _ = m.pool.Counts()
	g.Expect(n).To(BeZero(), "a registration that arrives after the removal is late")
	m.pool.Reconcile(m.now, granted.ID.Instance, 1, []model.Descriptor{waiting},
		[]dispatch.Outstanding{{Grant: grant, Descriptor: granted}})
	n, outstanding = m.pool.Counts()
	g.Expect(n).To(Equal(1))
	g.Expect(outstanding).To(Equal(1))
}
