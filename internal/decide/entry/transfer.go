package entry

import (
	"slices"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// TransferStats describes a call as far as it went.
type TransferStats struct {
	FirstToken    time.Duration
	PerToken      time.Duration
	Tokens        int
	PrefillTokens int
}

// report tells the dispatcher how a granted request goes on.
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

// FirstToken takes the first data of an answer.
func (m *Machine) FirstToken(id model.RequestID, s TransferStats) []Effect {
	if r := m.requests[id]; r != nil && r.phase == dispatched {
		m.report(r, model.ProgressFirstToken, s)
	}
	return m.take()
}

// Ended takes the whole answer. For a keyed request the outcome is stored before the
// callers get the last event, so that a retry elsewhere finds it.
func (m *Machine) Ended(now time.Time, id model.RequestID, s TransferStats, answer *model.Answer) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != dispatched {
		return nil
	}
	m.report(r, model.ProgressFinished, s)
	m.emit(Finished{
		Request: id, Server: r.grant.Server, Tier: r.desc.Tier, Tokens: s.Tokens,
		FirstToken: r.since.Add(s.FirstToken).Sub(r.desc.Arrived), Took: now.Sub(r.desc.Arrived),
		InTime: !now.After(r.desc.Deadline), Callers: len(r.callers),
	})
	m.enter(r, concluding, now)
	if !r.keyed() {
		m.forget(r)
		return m.take()
	}
	// The bound on commands in flight does not apply: a lost outcome would turn a finished
	// request into an unknown one.
	m.control[r.desc.Team]++
	r.pendingControl = true
	m.emit(Control{Request: id, Team: r.desc.Team, Command: state.Finish{Key: r.desc.Key, Request: id, Answer: answer}})
	return m.take()
}

// NotRun takes the proof that a call did not run. The request waits for another server.
func (m *Machine) NotRun(now time.Time, id model.RequestID, cause error) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != dispatched {
		return nil
	}
	server := r.grant.Server
	m.report(r, model.ProgressFailed, TransferStats{})
	m.emit(NotAdmitted{Request: id, Server: server, Err: cause})
	m.enter(r, waiting, now)
	m.count(r)
	switch {
	case len(r.callers) == 0:
		m.abandonReleased(now, r)
	case r.dispatches >= maxDispatches:
		m.refuse(now, r, &fault.ServerRefused{Server: server, Err: cause})
	default:
		m.register(now, r)
	}
	return m.take()
}

func (m *Machine) abandonReleased(now time.Time, r *request) {
	m.emit(Cancelled{Request: r.desc.ID, Phase: "not admitted"})
	if r.claimed {
		m.refuse(now, r, &fault.Superseded{})
		return
	}
	m.forget(r)
}

// Failed takes the interruption of a call that may have run. The transfer has told the
// callers. The claim of a keyed request stays, and becomes unknown, so that no later attempt runs.
func (m *Machine) Failed(id model.RequestID, s TransferStats) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != dispatched {
		return nil
	}
	m.report(r, model.ProgressFailed, s)
	if r.keyed() {
		m.control[r.desc.Team]++
		m.emit(Control{Request: id, Team: r.desc.Team, Command: state.Abandon{Key: r.desc.Key, Request: id}})
	}
	m.forget(r)
	return m.take()
}

// CancelledTransfer takes the end of a call that was cancelled because no caller was left.
func (m *Machine) CancelledTransfer(id model.RequestID, s TransferStats) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != dispatched {
		return nil
	}
	m.report(r, model.ProgressCancelled, s)
	m.emit(Cancelled{Request: id, Phase: "dispatched", Prefill: s.PrefillTokens})
	m.forget(r)
	return m.take()
}

// Detached takes the removal of a slow caller from its transfer.
func (m *Machine) Detached(id, caller model.RequestID) []Effect {
	r := m.requests[id]
	if r == nil {
		return nil
	}
	delete(m.attached, caller)
	r.callers = slices.DeleteFunc(r.callers, func(c model.RequestID) bool { return c == caller })
	return nil
}

// Missed takes the news that a submission could not join a transfer because it had ended. If
// the request waits again, the submission takes part in its next dispatch.
func (m *Machine) Missed(id, caller model.RequestID) []Effect {
	if r := m.requests[id]; r != nil && slices.Contains(r.callers, caller) {
		return nil
	}
	m.emit(Refuse{Caller: caller, Fault: &fault.OutcomeUnknown{}})
	return m.take()
}

// PoolState lists the requests of a pool that a dispatcher must know.
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

// GrantedRequest is a request that a dispatcher counts as outstanding.
type GrantedRequest struct {
	Grant      model.Grant
	Descriptor model.Descriptor
}
