package allocate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/allocate"
	"briaryard/internal/model"
)

// Guards against a dispatcher that goes on granting a server which has told this instance that it wants no
// request: it is told at once, and again in each new session, since another dispatcher may have taken
// over.
func TestTheDispatcherIsToldWhatServersSay(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	join(t, m, start)
	m.Take()
	m.HandleNotice(start, model.ServerNotice{Server: "b", Incarnation: 1, HoldFor: 3 * time.Second})
	g.Expect(effectsOf[allocate.SendNotice](m.Take())).To(HaveLen(1))
	m.Reset(start.Add(time.Second), "d")
	session := effectsOf[allocate.Join](m.Take())[0].Session
	m.Joined(start.Add(time.Second), "d", session)
	again := effectsOf[allocate.SendNotice](m.Take())
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Notice.HoldFor).To(Equal(2*time.Second), "the rest of its time")
	m.Reset(start.Add(4*time.Second), "d")
	session = effectsOf[allocate.Join](m.Take())[0].Session
	m.Joined(start.Add(4*time.Second), "d", session)
	g.Expect(effectsOf[allocate.SendNotice](m.Take())).To(BeEmpty(), "the hold has ended")
}

// Guards against an instance that decides alone and uses a server which wants no request of it.
func TestABarHoldsWithoutADispatcher(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.HandleNotice(start, model.ServerNotice{Server: "b", Incarnation: 1, HoldFor: 500 * time.Millisecond})
	m.Submit(start, want(1, start))
	g.Expect(effectsOf[allocate.Decided](m.Take())).To(BeEmpty(), "it waits for the end of the hold")
	m.Tick(start.Add(500 * time.Millisecond))
	d := effectsOf[allocate.Decided](m.Take())
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].Denied).To(BeFalse())

	m = newMachine()
	m.HandleNotice(start, model.ServerNotice{Server: "b", Incarnation: 1, Leaving: true})
	m.Submit(start, want(1, start))
	m.Tick(start.Add(2 * time.Second))
	d = effectsOf[allocate.Decided](m.Take())
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].Denied).To(BeTrue())
}
