package entry

import (
	"slices"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Granted takes a dispatcher's choice of backend server.
func (m *Machine) Granted(now time.Time, g model.Grant) []Effect {
	r := m.requests[g.Request]
	if r == nil || r.phase != waiting {
		// The request has ended, or the grant is a repeat.
		if r == nil || r.grant != g {
			m.emit(Report{Progress: model.Progress{
				Request: g.Request, Pool: g.Pool, Server: g.Server, Epoch: g.Epoch, Kind: model.ProgressReturned,
			}, Reason: "request no longer waits"})
		}
		return m.take()
	}
	r.grant = g
	r.granted = true
	if !m.usable(g) {
		m.returnGrant(r, "backend server is not usable")
		m.register(now, r)
		return m.take()
	}
	if !r.keyed() || r.claimed {
		m.dispatch(now, r)
		return m.take()
	}
	m.enter(r, claiming, now)
	claim := state.Claim{Key: r.desc.Key, Team: r.desc.Team, Fingerprint: r.fingerprint, Request: r.desc.ID, SeenIndex: r.seenIndex}
	if !m.command(r, claim) {
		m.returnGrant(r, "too many commands in flight")
		m.register(now, r)
	}
	return m.take()
}

// usable checks the granted server against this instance's own view, which may know of a
// server that leaves before the dispatcher does.
func (m *Machine) usable(g model.Grant) bool {
	s, ok := m.view.Server(g.Server)
	return ok && s.Incarnation == g.Incarnation && s.Usable()
}

func (m *Machine) dispatch(now time.Time, r *request) {
	server, _ := m.view.Server(r.grant.Server)
	m.uncount(r)
	r.dispatches++
	waited := now.Sub(r.desc.Arrived)
	m.enter(r, dispatched, now)
	m.emit(Begin{
		Request: r.desc.ID, Server: server, Epoch: r.grant.Epoch, Call: r.call,
		Keep: r.keyed(), Callers: slices.Clone(r.callers), Pool: r.desc.Pool, Waited: waited,
	})
}

// Evicted takes the dispatcher's decision that a request will not be granted.
func (m *Machine) Evicted(now time.Time, id model.RequestID, f fault.Fault) []Effect {
	if r := m.requests[id]; r != nil && r.phase == waiting {
		m.refuse(now, r, f)
	}
	return m.take()
}

// Duplicate takes the news that another attempt with the same key has ended.
func (m *Machine) Duplicate(now time.Time, id model.RequestID) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != waiting {
		return nil
	}
	m.enter(r, looking, now)
	if !m.command(r, state.Lookup{Key: r.desc.Key, Fingerprint: r.fingerprint}) {
		m.finishRefused(r, &fault.ControlUnavailable{Operation: "lookup"})
	}
	return m.take()
}

// Controlled takes the answer to a command. A nil result means that the control group
// could not be reached in time.
func (m *Machine) Controlled(now time.Time, id model.RequestID, team model.TeamID, res *state.Result) []Effect {
	m.commandDone(team)
	r := m.requests[id]
	if r == nil {
		return m.take()
	}
	r.pendingControl = false
	switch r.phase {
	case looking, awaiting:
		m.looked(now, r, res)
	case claiming:
		m.claimAnswered(now, r, res)
	case concluding:
		m.conclude(r)
	case refusing:
		m.refusalAnswered(r, res)
	case waiting, dispatched:
		// A late answer to a command that timed out here.
	}
	return m.take()
}

// looked takes the state of a key before the request waits.
func (m *Machine) looked(now time.Time, r *request, res *state.Result) {
	if res == nil {
		m.finishRefused(r, &fault.ControlUnavailable{Operation: "lookup"})
		return
	}
	if res.Claim == state.ClaimNone {
		r.seenIndex = res.Index
		m.admitWaiting(now, r)
		return
	}
	m.settleByClaim(now, r, res)
}

// claimAnswered takes the answer to a claim.
func (m *Machine) claimAnswered(now time.Time, r *request, res *state.Result) {
	if res == nil {
		// The claim may have been applied. Releasing it proves that the request did not
		// run; if that fails too, the answer is may_have_run.
		r.claimed = true
		m.returnGrant(r, "claim was not answered")
		m.refuse(now, r, &fault.ClaimUnanswered{})
		return
	}
	if res.Claim != state.ClaimWon {
		m.returnGrant(r, "claim was not won")
		m.settleByClaim(now, r, res)
		return
	}
	r.claimed = true
	switch {
	case len(r.callers) == 0:
		m.refuse(now, r, &fault.Superseded{})
	case !m.usable(r.grant):
		m.returnGrant(r, "backend server is not usable")
		m.register(now, r)
	default:
		m.dispatch(now, r)
	}
}

// settleByClaim ends or parks a request according to a claim of another attempt.
func (m *Machine) settleByClaim(now time.Time, r *request, res *state.Result) {
	switch res.Claim {
	case state.ClaimFinished:
		m.replay(r, res.Answer)
	case state.ClaimHeld:
		m.enter(r, awaiting, now)
		await := state.Await{Lookup: state.Lookup{Key: r.desc.Key, Fingerprint: r.fingerprint}}
		if !m.command(r, await) {
			m.finishRefused(r, &fault.OutcomeUnknown{})
		}
	case state.ClaimUnknown:
		m.finishRefused(r, &fault.OutcomeUnknown{})
	case state.ClaimMismatch:
		m.finishRefused(r, &fault.KeyMismatch{})
	case state.ClaimSuperseded:
		m.refuse(now, r, &fault.Superseded{})
	case state.ClaimFull:
		m.refuse(now, r, claimsFull(r, res))
	case state.ClaimNone, state.ClaimWon:
		m.finishRefused(r, &fault.OutcomeUnknown{})
	}
}

// claimsFull returns the refusal that the control group states, or one without its figures.
func claimsFull(r *request, res *state.Result) fault.Fault {
	if f, ok := res.Err.(*fault.ClaimsFull); ok {
		return f
	}
	return &fault.ClaimsFull{Team: r.desc.Team}
}

func (m *Machine) replay(r *request, answer *model.Answer) {
	if answer == nil {
		m.finishRefused(r, &fault.AnswerNotKept{})
		return
	}
	for _, c := range r.callers {
		m.emit(Replay{Caller: c, Answer: answer})
	}
	m.forget(r)
}

// refusalAnswered ends a request after its barrier or release.
func (m *Machine) refusalAnswered(r *request, res *state.Result) {
	switch {
	case res == nil:
		m.finishRefused(r, &fault.KeyUnchecked{Cause: r.refusal})
	case res.Claim == state.ClaimNone:
		m.finishRefused(r, r.refusal)
	case res.Claim == state.ClaimFinished:
		m.replay(r, res.Answer)
	default:
		m.finishRefused(r, &fault.OutcomeUnknown{})
	}
}

// conclude ends a request whose answer is whole and stored, or could not be stored in time.
func (m *Machine) conclude(r *request) {
	m.emit(Conclude{Request: r.desc.ID})
	m.forget(r)
}

// Tick applies time limits.
func (m *Machine) Tick(now time.Time) []Effect {
	for _, r := range m.requests {
		m.tick(now, r)
	}
	m.limits.expire(now)
	return m.take()
}

func (m *Machine) tick(now time.Time, r *request) {
	switch r.phase {
	case waiting:
		if now.After(r.desc.Deadline) {
			m.emit(Withdraw{Request: r.desc.ID, Pool: r.desc.Pool})
			m.refuse(now, r, &fault.DeadlineUnreachable{Deadline: r.desc.Deadline})
		}
	case awaiting:
		if now.After(r.desc.Deadline) {
			m.finishRefused(r, &fault.OutcomeUnknown{})
		}
	case concluding:
		if now.Sub(r.since) > concludeTimeout {
			m.conclude(r)
		}
	case looking, claiming, refusing, dispatched:
		// The control client answers every command within its own time limit.
	}
}
