package schedule_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

func noticeOf(server string, holdFor time.Duration) model.ServerNotice {
	return model.ServerNotice{Server: model.BackendServerID(server), Incarnation: 1, Leaving: holdFor == 0, HoldFor: holdFor}
}

// wantFrom is a request of another instance than want's.
func wantFrom(instance string, seq uint64) schedule.Request {
	w := want(seq, "llm", 0, start)
	w.ID.Instance = model.InstanceID(instance)
	return w
}

// Guards against a server that is granted to an instance of which it wants no request, and against keeping
// it from the other instances, of which it did not speak.
func TestAServerIsHeldForOneInstanceOnly(t *testing.T) {
	g := NewWithT(t)
	s := newFleet(1, 0)
	s.HandleNotice(start, "i", noticeOf("e0", time.Second))
	s.Submit(start, wantFrom("i", 1))
	g.Expect(s.Take()).To(BeEmpty())
	s.Submit(start, wantFrom("j", 2))
	d := granted(s.Take())
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].ID.Instance).To(Equal(model.InstanceID("j")))
	finish(s, start.Add(50*time.Millisecond), d[0])
	s.Tick(start.Add(999 * time.Millisecond))
	g.Expect(s.Take()).To(BeEmpty())
	s.Tick(start.Add(time.Second))
	g.Expect(granted(s.Take())).To(HaveLen(1))
}

// Guards against a server that is granted to anybody after it has said that it leaves, also if its record
// still says otherwise, and against a new incarnation that is kept out.
func TestAServerThatSaidThatItLeavesIsGrantedToNobody(t *testing.T) {
	g := NewWithT(t)
	s := newFleet(1, 0)
	s.HandleNotice(start, "i", noticeOf("e0", 0))
	ready := record("e0", "llm")
	ready.Sequence = 9
	s.SetServers(start, []model.BackendServer{ready})
	s.Submit(start, wantFrom("j", 1))
	g.Expect(granted(s.Take())).To(BeEmpty())
	ready.Incarnation, ready.Sequence, ready.Address = 2, 1, "other:1"
	s.SetServers(start, []model.BackendServer{ready})
	g.Expect(granted(s.Take())).To(HaveLen(1))
}

// Guards against a hold that outlives its server: a new incarnation under the same id did not ask for it.
func TestANewIncarnationIsNotHeld(t *testing.T) {
	g := NewWithT(t)
	s := newFleet(1, 0)
	s.HandleNotice(start, "i", noticeOf("e0", time.Minute))
	again := record("e0", "llm")
	again.Incarnation = 2
	s.SetServers(start, []model.BackendServer{again})
	s.Submit(start, wantFrom("i", 1))
	g.Expect(granted(s.Take())).To(HaveLen(1))
	late := noticeOf("e0", time.Minute)
	s.HandleNotice(start, "i", late)
	s.Submit(start, wantFrom("i", 2))
	g.Expect(granted(s.Take())).To(HaveLen(1), "a late word of the earlier one")
}

// Guards against callers that wait in vain, or are told nothing of use, when all servers want no request
// of their instance: those that cannot wait so long are refused at once, with the time of the first hold
// that ends.
func TestRequestsThatCannotOutwaitTheHoldsAreDenied(t *testing.T) {
	g := NewWithT(t)
	s := newFleet(2, 0)
	s.HandleNotice(start, "i", noticeOf("e0", 30*time.Second))
	s.Submit(start, wantFrom("i", 1))
	g.Expect(granted(s.Take())).To(HaveLen(1), "the other server is free")
	s.HandleNotice(start, "i", noticeOf("e1", 20*time.Second))
	s.Submit(start, wantFrom("i", 2))
	d := s.Take()
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].Denied).To(BeTrue())
	g.Expect(d[0].Reason).To(Equal(schedule.DeniedHeld))
	g.Expect(d[0].RetryAfter).To(Equal(20 * time.Second))
}

// Guards against a request that already waits when the last server asks for no more.
func TestWaitingRequestsAreDeniedWhenTheLastServerHolds(t *testing.T) {
	g := NewWithT(t)
	s := newFleet(1, 0)
	for seq := uint64(1); seq <= 3; seq++ {
		s.Submit(start, wantFrom("i", seq))
	}
	g.Expect(granted(s.Take())).To(HaveLen(2))
	s.HandleNotice(start, "i", noticeOf("e0", 30*time.Second))
	d := s.Take()
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].Reason).To(Equal(schedule.DeniedHeld))
	g.Expect(s.Waiting()).To(BeZero())
}
