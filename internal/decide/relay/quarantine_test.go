package relay_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/relay"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// harmfulView is evidence against the part "dead", with a quarantine until start + 62 s.
func harmfulView() *quarantine.View {
	l := quarantine.NewLedger()
	for n := range 3 {
		at := start.Add(time.Duration(n-3) * time.Second)
		l.Observe(at, quarantine.Sighting{
			Parts: []model.PromptPart{"dead"}, SentAt: at.Add(-100 * time.Millisecond), Crash: quarantine.CrashID{Server: model.BackendServerID([]string{"x", "y", "z"}[n]), Incarnation: 1},
		})
	}
	return l.View()
}

func promptRequest(parts ...model.PromptPart) relay.Request {
	r := request(model.KindStream, false, 2)
	r.Parts = parts
	return r
}

// Guards against requests that crash servers and are sent all the same: on arrival, while they wait, after
// they have been granted a server, or once more. Each gets a refusal that is true.
func TestARequestWithAHarmfulPartIsNotSent(t *testing.T) {
	for name, run := range map[string]func(m *relay.Machine) []relay.Effect{
		"on arrival": func(m *relay.Machine) []relay.Effect {
			m.SetQuarantine(start, harmfulView())
			m.Arrive(start, promptRequest("a", "dead"))
			return m.TakeEffects()
		},
		"while it waits": func(m *relay.Machine) []relay.Effect {
			m.Arrive(start, promptRequest("a", "dead"))
			m.TakeEffects()
			m.SetQuarantine(start, harmfulView())
			return m.TakeEffects()
		},
		"granted": func(m *relay.Machine) []relay.Effect {
			m.Arrive(start, promptRequest("a", "dead"))
			m.TakeEffects()
			m.SetQuarantine(start, harmfulView())
			refused := m.TakeEffects()
			m.HandleDecision(start, grantOf("a"), true)
			for _, e := range m.TakeEffects() {
				if _, ok := e.(relay.StartCall); ok {
					return nil
				}
			}
			return refused
		},
		"returned by the backend client": func(m *relay.Machine) []relay.Effect {
			m.Arrive(start, promptRequest("a", "dead"))
			m.HandleDecision(start, grantOf("a"), false)
			m.TakeEffects()
			m.SetQuarantine(start, harmfulView())
			m.HandleCallEvent(start, relay.CallEvent{ID: id, Send: 1, Kind: relay.CallReturned, Cause: &fault.PromptQuarantined{Part: "dead"}})
			return m.TakeEffects()
		},
		"after a refusal of a server": func(m *relay.Machine) []relay.Effect {
			m.Arrive(start, promptRequest("a", "dead"))
			m.HandleDecision(start, grantOf("a"), false)
			m.TakeEffects()
			m.SetQuarantine(start, harmfulView())
			m.HandleCallEvent(start, relay.CallEvent{ID: id, Send: 1, Kind: relay.CallFull, Cause: &fault.ServerRefusal{Status: 503}})
			return m.TakeEffects()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMachine()
			refusal := onlyEffect[relay.Refuse](t, run(m))
			g.Expect(code(refusal)).To(Equal(fault.CodePromptQuarantined))
			g.Expect(fault.MappingOf(refusal.Fault).RunState).To(Equal(model.NotRun))
			g.Expect(fault.RetryAfterOf(refusal.Fault)).To(BeNumerically("~", 59*time.Second, 3*time.Second))
			g.Expect(m.OpenRequests()).To(BeZero())
		})
	}
}

// Guards against tokens of a team that stay charged although its request never ran.
func TestAGrantOfARequestThatIsHeldBackIsRefunded(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	m.Arrive(start, promptRequest("dead"))
	m.TakeEffects()
	m.HandleDecision(start, grantOf("a"), false)
	m.TakeEffects()
	m.SetQuarantine(start, harmfulView())
	m.HandleCallEvent(start, relay.CallEvent{ID: id, Send: 1, Kind: relay.CallReturned, Cause: &fault.PromptQuarantined{Part: "dead"}})
	report := onlyEffect[relay.Report](t, m.TakeEffects())
	g.Expect(report.Refund).To(BeTrue())
	g.Expect(report.Outcome).To(Equal(schedule.Unused))
}

// Guards against a repeat that crashes a second server, and against a refusal of it that denies the first run.
func TestARequestThatMayHaveRunIsNotRepeatedWithAHarmfulPart(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	r := request(model.KindStream, true, 3)
	r.Parts = []model.PromptPart{"dead"}
	m.Arrive(start, r)
	m.HandleDecision(start, grantOf("a"), false)
	m.TakeEffects()
	m.SetQuarantine(start, harmfulView())
	g.Expect(m.TakeEffects()).To(BeEmpty(), "what has been sent goes on")
	m.HandleCallEvent(start, relay.CallEvent{ID: id, Send: 1, Kind: relay.CallBroken, Cause: &fault.MalformedAnswer{}})
	g.Expect(code(onlyEffect[relay.Refuse](t, m.TakeEffects()))).To(Equal(fault.CodeAnswerLost))
}

// Guards against holding back requests that share only other parts, or none.
func TestOtherRequestsAreNotHeldBack(t *testing.T) {
	for _, parts := range [][]model.PromptPart{nil, {"a"}, {"a", "b"}} {
		m := newMachine()
		m.SetQuarantine(start, harmfulView())
		m.Arrive(start, promptRequest(parts...))
		onlyEffect[relay.RequestServer](t, m.TakeEffects())
		m.HandleDecision(start, grantOf("a"), false)
		NewWithT(t).Expect(onlyEffect[relay.StartCall](t, m.TakeEffects()).Probe).To(BeFalse())
	}
}

// Guards against a quarantine without an end: the first request after it is sent as a probe.
func TestAfterAQuarantineOneRequestIsTried(t *testing.T) {
	g := NewWithT(t)
	later := start.Add(70 * time.Second)
	m := newMachine()
	m.SetQuarantine(start, harmfulView())
	m.SetProbePosition(1)
	for seq := range uint64(2) {
		r := promptRequest("dead")
		r.ID.Seq, r.Arrived, r.Deadline = seq+1, later, later.Add(3*time.Second)
		m.Arrive(later, r)
		onlyEffect[relay.RequestServer](t, m.TakeEffects())
	}
	d := grantOf("a")
	m.HandleDecision(later, d, false)
	g.Expect(onlyEffect[relay.StartCall](t, m.TakeEffects()).Probe).To(BeTrue())
	d.ID.Seq = 2
	m.HandleDecision(later, d, false)
	g.Expect(code(onlyEffect[relay.Refuse](t, m.TakeEffects()))).To(Equal(fault.CodePromptQuarantined))
}
