package entry

import (
	"slices"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// TransferStats holds the timing and token counts of a call so far.
type TransferStats struct {
	FirstToken    time.Duration
	PerToken      time.Duration
	Tokens        int
	PrefillTokens int
}

// report sends the progress of a granted request to the dispatcher. After a final kind the
// request no longer counts as granted.
func (m *Machine) report(r *request, kind model.ProgressKind, s TransferStats) {
	if !r.granted {
		return
	}
	r.granted = !kind.Final()
	m.emit(Report{Progress: model.Progress{
		Request: r.desc.ID, Pool: r.desc.Pool, Server: r.grant.Server, Epoch: r.grant.Epoch, Kind: kind,
		FirstToken: s.FirstToken, PerToken: s.PerToken, Tokens: s.Tokens, PrefillTokens: s.PrefillTokens,
	}})
}

// FirstToken handles the arrival of the first data of an answer.
func (m *Machine) FirstToken(id model.RequestID, s TransferStats) []Effect {
	if r := m.requests[id]; r != nil && r.phase == dispatched {
		m.report(r, model.ProgressFirstToken, s)
	}
	return m.takeEffects()
}

// Ended handles the complete answer. For a keyed request the outcome is stored before the
// callers get the last event, so that a retry at another instance finds it.
func (m *Machine) Ended(now time.Time, id model.RequestID, s TransferStats, answer *model.Answer) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != dispatched {
		return nil
	}
	m.report(r, model.ProgressFinished, s)
	m.emit(Finished{
		Request: id, Server: r.grant.Server, Tier: r.desc.Tier, Tokens: s.Tokens,
		FirstToken: r.phaseStart.Add(s.FirstToken).Sub(r.desc.Arrived), Took: now.Sub(r.desc.Arrived),
		InTime: !now.After(r.desc.Deadline), Callers: len(r.callers),
	})
	m.enter(r, concluding, now)
	if !r.keyed() {
		m.remove(r)
		return m.takeEffects()
	}
	// The bound on commands in flight does not apply: if the outcome were lost, a finished
	// request would become one with an unknown outcome.
	m.inFlight[r.desc.Team]++
	r.commandPending = true
	m.emit(Control{Request: id, Team: r.desc.Team, Command: state.Finish{Key: r.desc.Key, Request: id, Answer: answer}})
	return m.takeEffects()
}

// NotRun handles proof that a call did not run. The request waits for another grant, unless
// it has no callers left or has reached maxDispatches.
func (m *Machine) NotRun(now time.Time, id model.RequestID, cause error) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != dispatched {
		return nil
	}
	server := r.grant.Server
	m.report(r, model.ProgressFailed, TransferStats{})
	m.emit(NotAdmitted{Request: id, Server: server, Err: cause})
	m.enter(r, waiting, now)
	m.countWaiting(r)
	switch {
	case len(r.callers) == 0:
		m.abandonNotRun(now, r)
	case r.dispatches >= maxDispatches:
		m.refuse(now, r, &fault.ServerRefused{Server: server, Err: cause})
	default:
		m.register(now, r)
	}
	return m.takeEffects()
}

// abandonNotRun ends a request without callers whose call provably did not run. A claimed key
// is released first.
func (m *Machine) abandonNotRun(now time.Time, r *request) {
	m.emit(Cancelled{Request: r.desc.ID, Phase: "not admitted"})
	if r.claimed {
		m.refuse(now, r, &fault.Superseded{})
		return
	}
	m.remove(r)
}

// Failed handles the interruption of a call that may have run. The transfer has already
// answered the callers. The claim of a keyed request is kept with an unknown outcome, so that
// no later attempt runs.
func (m *Machine) Failed(id model.RequestID, s TransferStats) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != dispatched {
		return nil
	}
	m.report(r, model.ProgressFailed, s)
	if r.keyed() {
		m.inFlight[r.desc.Team]++
		m.emit(Control{Request: id, Team: r.desc.Team, Command: state.Abandon{Key: r.desc.Key, Request: id}})
	}
	m.remove(r)
	return m.takeEffects()
}

// CancelledTransfer handles the end of a call that was cancelled because no caller was left.
func (m *Machine) CancelledTransfer(id model.RequestID, s TransferStats) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != dispatched {
		return nil
	}
	m.report(r, model.ProgressCancelled, s)
	m.emit(Cancelled{Request: id, Phase: "dispatched", Prefill: s.PrefillTokens})
	m.remove(r)
	return m.takeEffects()
}

// Detached handles the removal of a slow caller from its transfer.
func (m *Machine) Detached(id, caller model.RequestID) []Effect {
	r := m.requests[id]
	if r == nil {
		return nil
	}
	delete(m.attached, caller)
	r.callers = slices.DeleteFunc(r.callers, func(c model.RequestID) bool { return c == caller })
	return nil
}

// Missed handles a submission that could not join a transfer because the transfer had ended.
// If the submission is still attached to the request, it takes part in its next dispatch;
// otherwise it is refused with an unknown outcome.
func (m *Machine) Missed(id, caller model.RequestID) []Effect {
	if r := m.requests[id]; r != nil && slices.Contains(r.callers, caller) {
		return nil
	}
	m.emit(Refuse{Caller: caller, Fault: &fault.OutcomeUnknown{}})
	return m.takeEffects()
}

// PoolState returns the requests of a pool that its dispatcher has to know: those that wait
// for a grant and those that are granted.
func (m *Machine) PoolState(pool model.PoolID) (waitingSet []model.Descriptor, outstanding []GrantedRequest) {
	for _, r := range m.requests {
		if r.desc.Pool != pool {
			continue
		}
		if r.granted {
			outstanding = append(outstanding, GrantedRequest{Grant: r.grant, Descriptor: r.desc})
		} else if r.phase == waiting {
			waitingSet = append(waitingSet, r.desc)
		}
	}
	return waitingSet, outstanding
}

// GrantedRequest is a granted request that the dispatcher counts as outstanding.
type GrantedRequest struct {
	Grant      model.Grant
	Descriptor model.Descriptor
}
