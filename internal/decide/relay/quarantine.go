package relay

import (
	"time"

	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/fault"
)

// SetProbePosition sets the place of this instance among those that take requests: in the order in which they try
// requests with parts whose quarantine is over, and in the division of the limit of hedged requests.
func (m *Machine) SetProbePosition(n int) {
	m.gate.SetPosition(n)
	m.budget.SetPosition(n)
}

// SetQuarantine applies new evidence against parts of prompts. Requests that wait for a server and are to be
// held back are refused. Those that have been sent go on: one that begins shows that its parts are sound.
func (m *Machine) SetQuarantine(now time.Time, v *quarantine.View) {
	m.gate.SetView(v)
	for _, s := range m.requests {
		if s.phase != awaitingServer {
			continue
		}
		if f := m.quarantined(now, s); f != nil {
			m.emit(Withdraw{ID: s.ID})
			m.endWithoutRetry(now, s, f)
		}
	}
}

// quarantined returns the fault of a request that must not be sent because of the parts of its prompt, or nil.
func (m *Machine) quarantined(now time.Time, s *requestState) fault.Fault {
	if r, held := m.gate.Check(now, s.Parts); held {
		return &fault.PromptQuarantined{Part: r.Part, Crashed: r.Crashes, Wait: max(r.Wait, schedule.MinRetryAfter)}
	}
	return nil
}
