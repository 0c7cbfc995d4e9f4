package entry

import (
	"slices"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Granted handles a grant from the dispatcher. A keyed request claims its key before it is
// dispatched to the granted backend server.
func (m *Machine) Granted(now time.Time, g model.Grant) []Effect {
	r := m.requests[g.Request]
	if r == nil || r.phase != waiting {
		// The request has ended, or the grant is a duplicate.
		if r == nil || r.grant != g {
			m.emit(Report{Progress: model.Progress{
				Request: g.Request, Pool: g.Pool, Server: g.Server, Epoch: g.Epoch, Kind: model.ProgressReturned,
			}, Reason: "request is no longer waiting"})
		}
		return m.takeEffects()
	}
	r.grant = g
	r.granted = true
	if !m.usable(g) {
		m.returnGrant(r, "backend server is not usable")
		m.register(now, r)
		return m.takeEffects()
	}
	if !r.keyed() || r.claimed {
		m.dispatch(now, r)
		return m.takeEffects()
	}
	m.enter(r, claiming, now)
	claim := state.Claim{Key: r.desc.Key, Team: r.desc.Team, Fingerprint: r.fingerprint, Request: r.desc.ID, SeenIndex: r.seenIndex}
	if !m.command(r, claim) {
		m.returnGrant(r, "too many commands in flight")
		m.register(now, r)
	}
	return m.takeEffects()
}

// usable reports whether the granted backend server is usable in this instance's own
// membership view, which may learn that a server is leaving before the dispatcher does.
func (m *Machine) usable(g model.Grant) bool {
	s, ok := m.view.Server(g.Server)
	return ok && s.Incarnation == g.Incarnation && s.Usable()
}

// dispatch hands a request to a transfer to the granted backend server.
func (m *Machine) dispatch(now time.Time, r *request) {
	server, _ := m.view.Server(r.grant.Server)
	m.uncountWaiting(r)
	r.dispatches++
	waited := now.Sub(r.desc.Arrived)
	m.enter(r, dispatched, now)
	m.emit(Begin{
		Request: r.desc.ID, Server: server, Epoch: r.grant.Epoch, Call: r.call,
		Keep: r.keyed(), Callers: slices.Clone(r.callers), Pool: r.desc.Pool, Waited: waited,
	})
}

// Evicted handles the eviction of a waiting request by the dispatcher: the request is refused
// with f.
func (m *Machine) Evicted(now time.Time, id model.RequestID, f fault.Fault) []Effect {
	if r := m.requests[id]; r != nil && r.phase == waiting {
		m.refuse(now, r, f)
	}
	return m.takeEffects()
}

// Duplicate handles a notice that another attempt with the same key has ended. The request
// looks up its key again.
func (m *Machine) Duplicate(now time.Time, id model.RequestID) []Effect {
	r := m.requests[id]
	if r == nil || r.phase != waiting {
		return nil
	}
	m.enter(r, looking, now)
	if !m.command(r, state.Lookup{Key: r.desc.Key, Fingerprint: r.fingerprint}) {
		m.finishRefused(r, &fault.ControlUnavailable{Operation: "lookup"})
	}
	return m.takeEffects()
}

// Controlled handles the result of a control group command. A nil result means that the
// control group could not be reached in time.
func (m *Machine) Controlled(now time.Time, id model.RequestID, team model.TeamID, res *state.Result) []Effect {
	m.commandDone(team)
	r := m.requests[id]
	if r == nil {
		return m.takeEffects()
	}
	r.commandPending = false
	switch r.phase {
	case looking, awaiting:
		m.handleLookup(now, r, res)
	case claiming:
		m.handleClaimResult(now, r, res)
	case concluding:
		m.conclude(r)
	case refusing:
		m.handleRefusalResult(r, res)
	case waiting, dispatched:
		// A late result of a command that timed out here.
	}
	return m.takeEffects()
}

// handleLookup handles the state of a key that was looked up, or awaited, for a request that
// does not hold its claim. A request whose key is unclaimed goes on to wait for a grant.
func (m *Machine) handleLookup(now time.Time, r *request, res *state.Result) {
	if res == nil {
		m.finishRefused(r, &fault.ControlUnavailable{Operation: "lookup"})
		return
	}
	if res.Claim == state.ClaimNone {
		r.seenIndex = res.Index
		m.admitWaiting(now, r)
		return
	}
	m.resolveByClaim(now, r, res)
}

// handleClaimResult handles the result of a claim. The request is dispatched if it has won
// the claim, still has a caller, and the granted backend server is still usable.
func (m *Machine) handleClaimResult(now time.Time, r *request, res *state.Result) {
	if res == nil {
		// The claim may have been applied. Releasing it proves that the request did not
		// run; if the release fails too, the caller is answered may_have_run.
		r.claimed = true
		m.returnGrant(r, "claim was not answered")
		m.refuse(now, r, &fault.ClaimUnanswered{})
		return
	}
	if res.Claim != state.ClaimWon {
		m.returnGrant(r, "claim was not won")
		m.resolveByClaim(now, r, res)
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

// resolveByClaim continues a request that cannot proceed with its key: it replays a stored
// answer, awaits the outcome of the attempt that holds the claim, or refuses the request.
func (m *Machine) resolveByClaim(now time.Time, r *request, res *state.Result) {
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

// claimsFull returns the control group's refusal, or one without counts and limits if the
// result carries none.
func claimsFull(r *request, res *state.Result) fault.Fault {
	if f, ok := res.Err.(*fault.ClaimsFull); ok {
		return f
	}
	return &fault.ClaimsFull{Team: r.desc.Team}
}

// replay answers all callers of a request with a stored answer and ends the request. A nil
// answer means that it is no longer kept.
func (m *Machine) replay(r *request, answer *model.Answer) {
	if answer == nil {
		m.finishRefused(r, &fault.AnswerNotKept{})
		return
	}
	for _, c := range r.callers {
		m.emit(Replay{Caller: c, Answer: answer})
	}
	m.remove(r)
}

// handleRefusalResult ends a request after the command that sets its barrier or releases its
// claim. It refuses the request with the original fault only if the key is unclaimed.
func (m *Machine) handleRefusalResult(r *request, res *state.Result) {
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

// conclude ends a request whose answer is complete and whose outcome was stored, or could not
// be stored in time.
func (m *Machine) conclude(r *request) {
	m.emit(Conclude{Request: r.desc.ID})
	m.remove(r)
}

// Tick enforces the deadlines of requests and the time limit for storing outcomes, and drops
// idle callers from the limiter.
func (m *Machine) Tick(now time.Time) []Effect {
	for _, r := range m.requests {
		m.tick(now, r)
	}
	m.limits.expire(now)
	return m.takeEffects()
}

// tick ends a request whose deadline, or whose time limit for storing the outcome, has passed.
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
		if now.Sub(r.phaseStart) > concludeTimeout {
			m.conclude(r)
		}
	case looking, claiming, refusing, dispatched:
		// No limit is needed for commands: the control client answers each one within its
		// own time limit.
	}
}
