package entry

import (
	"slices"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Arrive handles a new submission. The machine refuses it, attaches it to an earlier attempt
// with the same key, or starts to process it.
func (m *Machine) Arrive(now time.Time, a Arrival) []Effect {
	r, f := m.admit(now, a)
	if a.Key == "" {
		m.arriveUnkeyed(now, r, f)
	} else {
		m.arriveKeyed(now, r, f)
	}
	return m.takeEffects()
}

// arriveUnkeyed refuses a submission that failed admission, or tracks it and admits it to the
// waiting requests.
func (m *Machine) arriveUnkeyed(now time.Time, r *request, f fault.Fault) {
	if f != nil {
		m.emit(Refuse{Caller: r.desc.ID, Fault: f, Tier: r.desc.Tier})
		return
	}
	m.add(r)
	m.admitWaiting(now, r)
}

// arriveKeyed attaches the submission to an earlier attempt at this instance, or asks the
// control group for the state of the key. A submission that failed admission takes the same
// path: an earlier attempt may have run under another configuration, so not_run must be
// checked first.
func (m *Machine) arriveKeyed(now time.Time, r *request, f fault.Fault) {
	// Do not join a request that is being refused: another attempt may have run since its
	// barrier was set.
	if earlier := m.byKey[r.desc.Key]; earlier != nil && earlier.phase != refusing {
		m.join(earlier, r)
		return
	}
	if _, unchecked := f.(*fault.KeyUnchecked); unchecked {
		m.emit(Refuse{Caller: r.desc.ID, Fault: f, Tier: r.desc.Tier})
		return
	}
	m.add(r)
	m.byKey[r.desc.Key] = r
	m.enter(r, looking, now)
	if f != nil {
		m.refuse(now, r, f)
		return
	}
	if !m.command(r, state.Lookup{Key: r.desc.Key, Fingerprint: r.fingerprint}) {
		m.finishRefused(r, &fault.ControlUnavailable{Operation: "lookup"})
	}
}

// add starts to track a request and counts it against the limits.
func (m *Machine) add(r *request) {
	m.requests[r.desc.ID] = r
	m.attached[r.desc.ID] = r.desc.ID
	m.limits.begin(r.desc.Team, r.caller)
	m.countWaiting(r)
}

// admit checks a submission against the configuration. It returns the request also with a
// fault, so that the refusal can state the tier.
func (m *Machine) admit(now time.Time, a Arrival) (*request, fault.Fault) {
	r := &request{caller: a.Caller, call: a.Call, fingerprint: a.Fingerprint, callers: []model.RequestID{a.ID}}
	r.desc = model.Descriptor{ID: a.ID, Pool: a.Pool, Team: a.Team, Arrived: now}
	r.setKey(a.Key)
	if m.config == nil {
		return r, uncheckedIfKeyed(a, &fault.Withdrawn{Instance: m.self})
	}
	pool, ok := m.config.Pools[a.Pool]
	if !ok || pool.Kind != a.Kind {
		return r, &fault.UnknownPool{Pool: a.Pool}
	}
	r.desc.Tier = pool.DefaultTier
	team, ok := m.team(a.Team)
	if !ok {
		return r, &fault.UnknownTeam{Team: a.Team}
	}
	r.team = &team
	r.desc.Team = team.ID
	// The key is scoped to the declared team, which may be the default team and not the one
	// named in the request.
	r.setKey(a.Key)
	if f := applyTier(r, &team, a.Tier); f != nil {
		return r, f
	}
	if size := bodySize(&a.Call); size > pool.MaxBody {
		return r, &fault.BodyTooLarge{Limit: pool.MaxBody}
	}
	if pool.Kind == model.PlainServer && a.Key == "" && !pool.Route(a.Call.Method, a.Call.Path).Idempotent {
		return r, &fault.KeyRequired{Method: a.Call.Method, Path: a.Call.Path}
	}
	if m.stopping {
		return r, &fault.Stopping{Instance: m.self}
	}
	if m.withdrawn {
		return r, uncheckedIfKeyed(a, &fault.Withdrawn{Instance: m.self})
	}
	setDeadlineAndEstimates(now, r, &pool, &a)
	return r, nil
}

// uncheckedIfKeyed returns f, or for a keyed request a refusal that does not claim not_run:
// an instance that cannot reach the control group cannot look up the key.
func uncheckedIfKeyed(a Arrival, f fault.Fault) fault.Fault {
	if a.Key == "" {
		return f
	}
	return &fault.KeyUnchecked{Cause: f}
}

// setKey sets the hash of the idempotency key, scoped to the request's team.
func (r *request) setKey(key string) {
	if key != "" {
		r.desc.Key = model.HashKey(r.desc.Team, key)
	}
}

// team returns the declared team, or the default team if id is not declared.
func (m *Machine) team(id model.TeamID) (model.Team, bool) {
	if t, ok := m.config.Teams[id]; ok {
		return t, true
	}
	t, ok := m.config.Teams[m.config.DefaultTeam]
	return t, ok && m.config.DefaultTeam != ""
}

// applyTier sets the request's tier to the requested one, if any. A tier above the team's
// highest is refused, or lowered to the highest if the team allows it or the tier is the
// pool's default.
func applyTier(r *request, team *model.Team, requested *model.Tier) fault.Fault {
	if requested != nil {
		r.desc.Tier = *requested
	}
	if r.desc.Tier >= team.HighestTier {
		return nil
	}
	if requested != nil && !team.LowerTier {
		return &fault.TierNotAllowed{Team: team.ID, Asked: *requested, Highest: team.HighestTier}
	}
	r.desc.Tier = team.HighestTier
	return nil
}

// setDeadlineAndEstimates sets the deadline, the token estimates, and what prefix and adapter
// affinity need. It caps the output tokens at the pool's limit.
func setDeadlineAndEstimates(now time.Time, r *request, pool *model.Pool, a *Arrival) {
	timeout := a.Timeout
	if timeout <= 0 {
		timeout = pool.DefaultDeadline
	}
	if pool.MaxDeadline > 0 {
		timeout = min(timeout, pool.MaxDeadline)
	}
	r.desc.Deadline = now.Add(timeout)
	if pool.Kind == model.PlainServer {
		r.desc.PromptTokens = 1
		return
	}
	if r.call.MaxTokens <= 0 || r.call.MaxTokens > pool.MaxTokens {
		r.call.MaxTokens = pool.MaxTokens
	}
	r.desc.PromptTokens = model.EstimateTokens(a.Call.Prompt)
	r.desc.OutputTokens = r.call.MaxTokens
	r.desc.Prefix = model.PrefixHashes(a.Call.Prompt)
	r.desc.Adapter = a.Call.Adapter
}

// join attaches a submission to the earlier request with the same key. A submission with a
// different fingerprint is refused.
func (m *Machine) join(earlier, r *request) {
	id := r.desc.ID
	if earlier.fingerprint != r.fingerprint {
		m.emit(Refuse{Caller: id, Fault: &fault.KeyMismatch{}, Tier: r.desc.Tier})
		return
	}
	earlier.callers = append(earlier.callers, id)
	m.attached[id] = earlier.desc.ID
	m.emit(Joined{Request: earlier.desc.ID, Caller: id})
	if earlier.phase == dispatched || earlier.phase == concluding {
		m.emit(Join{Request: earlier.desc.ID, Caller: id})
	}
}

// admitWaiting applies the limits of the team and the caller and the bounds on waiting
// requests, then registers the request with the dispatcher.
func (m *Machine) admitWaiting(now time.Time, r *request) {
	if f := m.limits.check(now, r.team, r.caller); f != nil {
		m.refuse(now, r, f)
		return
	}
	if m.overLocalBound() && !m.shedLowerTiers(now, r) {
		m.refuse(now, r, &fault.Overloaded{Resource: "waiting set of the instance"})
		return
	}
	m.register(now, r)
}

// overLocalBound reports whether the undispatched requests of this instance exceed the bound
// on their number or on their body bytes.
func (m *Machine) overLocalBound() bool {
	total := 0
	for _, n := range m.waitingTier {
		total += n
	}
	return total > localMaxWaiting || m.waitingBytes > localMaxWaitingBytes
}

// shedLowerTiers sheds waiting requests, lowest tier first, until the instance is within its
// bounds. It returns false if no waiting request of a lower tier than r is left before that.
func (m *Machine) shedLowerTiers(now time.Time, r *request) bool {
	for m.overLocalBound() {
		victim := m.lowestWaiting()
		if victim == nil || victim.desc.Tier <= r.desc.Tier {
			return false
		}
		m.emit(Withdraw{Request: victim.desc.ID, Pool: victim.desc.Pool})
		m.refuse(now, victim, &fault.Shed{Tier: victim.desc.Tier})
	}
	return true
}

// lowestWaiting returns the newest waiting request of the lowest tier present. Shedding it
// wastes the least waiting time.
func (m *Machine) lowestWaiting() *request {
	for tier := model.TierCount - 1; tier >= 0; tier-- {
		if newest := m.waitingList[tier].Back(); newest != nil {
			return newest.Value.(*request)
		}
	}
	return nil
}

// CallerGone handles the disconnection of a submission's caller.
func (m *Machine) CallerGone(now time.Time, id model.RequestID) []Effect {
	r := m.requests[m.attached[id]]
	if r == nil {
		return nil
	}
	delete(m.attached, id)
	r.callers = slices.DeleteFunc(r.callers, func(c model.RequestID) bool { return c == id })
	if r.phase == dispatched || r.phase == concluding {
		m.emit(Leave{Request: r.desc.ID, Caller: id})
		return m.takeEffects()
	}
	if len(r.callers) > 0 {
		return m.takeEffects()
	}
	m.abandon(now, r)
	return m.takeEffects()
}

// abandon ends a request that has no callers left and was not dispatched.
func (m *Machine) abandon(now time.Time, r *request) {
	m.emit(Cancelled{Request: r.desc.ID, Phase: r.phase.String()})
	switch r.phase {
	case waiting:
		m.emit(Withdraw{Request: r.desc.ID, Pool: r.desc.Pool})
	case claiming, refusing:
		// The claim may still be won after the caller has disconnected. The request ends
		// when the command is answered, so that no claim is leaked.
		return
	case looking, awaiting, dispatched, concluding:
	}
	if r.claimed {
		m.refuse(now, r, &fault.Superseded{})
		return
	}
	m.remove(r)
}
