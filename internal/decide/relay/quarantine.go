package relay

import (
	"time"

	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/fault"
)

// SetTrialPosition sets the place of this instance in the order in which the instances try requests with
// parts whose quarantine is over.
func (m *Machine) SetTrialPosition(n int) { m.gate.SetPosition(n) }

// SetQuarantine applies new evidence against parts of prompts. Requests that wait for a server and are to be
// held back are refused. Those that have been sent go on: one that begins shows that its parts are sound.
func (m *Machine) SetQuarantine(now time.Time, v *quarantine.View) {
	m.gate.SetView(v)
	for _, s := range m.requests {
		if s.phase != awaitingServer {
			continue
		}
		if f := m.heldBack(now, s); f != nil {
			m.emit(Withdraw{ID: s.ID})
			m.endWithoutRetry(now, s, f)
		}
	}
}

// heldBack returns the fault of a request that must not be sent because of the parts of its prompt, or nil.
func (m *Machine) heldBack(now time.Time, s *requestState) fault.Fault {
	if verdict, held := m.gate.Check(now, s.Parts); held {
		return &fault.PromptHeldBack{Part: verdict.Part, Ended: verdict.Strikes, Wait: max(verdict.Wait, schedule.MinRetryAfter)}
	}
	return nil
}
