package dispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/model"
)

// Guards against requests of an instance that was only cut off: after its return they were
// taken for ended, waited until their deadline and did not count as outstanding.
func TestStateOfAReturnedInstanceIsTaken(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(8)
	granted := w.register(model.Standard, "a", 100, 1e10)
	grant := w.pool.Take()[0].Grant
	w.pool.SetServers(w.now, nil)
	waiting := granted
	waiting.ID.Seq = 99
	w.pool.Register(w.now, waiting)
	w.pool.InstanceGone(w.now, granted.ID.Instance, 1)
	n, outstanding := w.pool.Counts()
	g.Expect(n + outstanding).To(BeZero())
	w.pool.Register(w.now, waiting)
	n, _ = w.pool.Counts()
	g.Expect(n).To(BeZero(), "a registration that arrives after the removal is late")
	w.pool.Reconcile(w.now, granted.ID.Instance, 1, []model.Descriptor{waiting},
		[]dispatch.Outstanding{{Grant: grant, Descriptor: granted}})
	n, outstanding = w.pool.Counts()
	g.Expect(n).To(Equal(1))
	g.Expect(outstanding).To(Equal(1))
}
