package relay_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/relay"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// grantTo is a grant of a server of incarnation 1.
func grantTo(server string) schedule.Decision {
	d := grantOf(server)
	d.Server.Incarnation = 1
	return d
}

var (
	leaves = model.ServerNotice{Server: "a", Incarnation: 1, Leaving: true}
	holds  = model.ServerNotice{Server: "a", Incarnation: 1, HoldFor: 2 * time.Second}
)

// Guards against a request that is sent to a server after the server has said that it wants none, because
// it was granted before: by the dispatcher, or by this instance alone.
func TestAGrantOfABarredServerIsReturned(t *testing.T) {
	for _, alone := range []bool{false, true} {
		for name, notice := range map[string]model.ServerNotice{"leaving": leaves, "hold": holds} {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				m := newMachine()
				m.HandleNotice(start, notice)
				g.Expect(onlyEffect[relay.PassOn](t, m.TakeEffects()).ServerNotice).To(Equal(notice))
				m.Arrive(start, request(model.KindOnce, false, 1))
				m.TakeEffects()
				m.HandleDecision(start, grantTo("a"), alone)
				effects := m.TakeEffects()
				g.Expect(onlyEffect[relay.Report](t, effects).Outcome).To(Equal(schedule.Unused))
				g.Expect(onlyEffect[relay.RequestServer](t, effects).Request.Admitted).To(BeTrue())
				g.Expect(onlyEffect[relay.Returned](t, effects).Server).To(Equal(model.BackendServerID("a")))
				m.HandleDecision(start, grantTo("b"), alone)
				g.Expect(onlyEffect[relay.StartCall](t, m.TakeEffects()).Server.ID).To(Equal(model.BackendServerID("b")))
			})
		}
	}
}

// Guards against a server that stays barred after its time, or in a new incarnation under its id.
func TestABarEndsWithItsTimeAndItsIncarnation(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.HandleNotice(start, holds)
	m.Arrive(start, request(model.KindOnce, false, 1))
	m.TakeEffects()
	m.HandleDecision(start.Add(2*time.Second), grantTo("a"), false)
	onlyEffect[relay.StartCall](t, m.TakeEffects())

	m = newMachine()
	m.HandleNotice(start, leaves)
	m.Arrive(start, request(model.KindOnce, false, 1))
	m.TakeEffects()
	later := grantTo("a")
	later.Server.Incarnation = 2
	m.HandleDecision(start, later, false)
	g.Expect(onlyEffect[relay.StartCall](t, m.TakeEffects()).Server.Incarnation).To(Equal(model.Incarnation(2)))
}

// Guards against a loop between this instance and a dispatcher that does not know of a bar. The refusal
// says truthfully that the request did not run and when the server takes requests again.
func TestGrantsAreNotReturnedForEver(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.HandleNotice(start, holds)
	m.Arrive(start, request(model.KindOnce, false, 1))
	m.TakeEffects()
	for range 20 {
		m.HandleDecision(start, grantTo("a"), false)
		if m.OpenRequests() == 0 {
			break
		}
	}
	f := onlyEffect[relay.Refuse](t, m.TakeEffects()).Fault
	g.Expect(fault.MappingOf(f).RunState).To(Equal(model.NotRun))
	g.Expect(fault.RetryAfterOf(f)).To(Equal(2 * time.Second))
}

// Guards against a call that counts as run, or as a failure of its server, although it was not sent.
func TestACallThatWasNotSentIsPlacedAnew(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.Arrive(start, request(model.KindOnce, false, 1))
	m.HandleDecision(start, grantTo("a"), false)
	m.TakeEffects()
	m.HandleCallEvent(start, relay.CallEvent{ID: id, Send: 1, Kind: relay.CallReturned, Cause: &fault.ServerBarred{Server: "a"}})
	effects := m.TakeEffects()
	g.Expect(onlyEffect[relay.Report](t, effects).Outcome).To(Equal(schedule.Unused))
	onlyEffect[relay.RequestServer](t, effects)
}

// Guards against a word that is passed on with each of the answers that repeat it.
func TestARepeatedWordIsPassedOnOnce(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.HandleNotice(start, leaves)
	m.HandleNotice(start, leaves)
	m.HandleNotice(start, holds)
	g.Expect(m.TakeEffects()).To(HaveLen(1))
}
