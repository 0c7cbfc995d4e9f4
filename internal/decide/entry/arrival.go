package entry

import (
	"slices"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Arrive takes a submission.
func (m *Machine) Arrive(now time.Time, a Arrival) []Effect {
	r, f := m.admit(now, a)
	if a.Key == "" {
		m.arriveUnkeyed(now, r, f)
	} else {
		m.arriveKeyed(now, r, f)
	}
	return m.take()
}

func (m *Machine) arriveUnkeyed(now time.Time, r *request, f fault.Fault) {
	if f != nil {
		m.emit(Refuse{Caller: r.desc.ID, Fault: f, Tier: r.desc.Tier})
		return
	}
	m.add(r)
	m.admitWaiting(now, r)
}

// arriveKeyed joins the submission to an earlier attempt at this instance, or asks the
// control group about the key. A refusal goes the same way: the earlier attempt may have
// run under another configuration, so not_run must be checked first.
func (m *Machine) arriveKeyed(now time.Time, r *request, f fault.Fault) {
	// A request that is being refused is not joined: another attempt may have run since its
	// barrier was set.
	if first := m.byKey[r.desc.Key]; first != nil && first.phase != refusing {
		m.join(first, r)
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

// add takes a request over.
func (m *Machine) add(r *request) {
	m.requests[r.desc.ID] = r
	m.attached[r.desc.ID] = r.desc.ID
	m.limits.begin(r.desc.Team, r.caller)
	m.count(r)
}

// admit checks a submission against the configuration. It returns the request even if it
// refuses, so that the refusal can name the tier.
func (m *Machine) admit(now time.Time, a Arrival) (*request, fault.Fault) {
	r := &request{caller: a.Caller, call: a.Call, fingerprint: a.Fingerprint, callers: []model.RequestID{a.ID}}
	r.desc = model.Descriptor{ID: a.ID, Pool: a.Pool, Team: a.Team, Arrived: now}
	r.setKey(a.Key)
	if m.config == nil {
		return r, unchecked(a, &fault.Withdrawn{Instance: m.self})
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
	// The key belongs to the declared team and not to the name in the request.
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
		return r, unchecked(a, &fault.Withdrawn{Instance: m.self})
	}
	applyLengths(now, r, &pool, &a)
	return r, nil
}

// unchecked returns f, or for a keyed request a refusal that does not claim not_run: an
// instance that cannot reach the control group cannot ask about the key.
func unchecked(a Arrival, f fault.Fault) fault.Fault {
	if a.Key == "" {
		return f
	}
	return &fault.KeyUnchecked{Cause: f}
}

// setKey sets the key's hash in the scope of the request's team.
func (r *request) setKey(key string) {
	if key != "" {
		r.desc.Key = model.HashKey(r.desc.Team, key)
	}
}

func (m *Machine) team(id model.TeamID) (model.Team, bool) {
	if t, ok := m.config.Teams[id]; ok {
		return t, true
	}
	t, ok := m.config.Teams[m.config.DefaultTeam]
	return t, ok && m.config.DefaultTeam != ""
}

// applyTier sets the request's tier: the caller's wish, lowered or refused if it is above
// what the team may ask for.
func applyTier(r *request, team *model.Team, asked *model.Tier) fault.Fault {
	if asked != nil {
		r.desc.Tier = *asked
	}
	if r.desc.Tier >= team.HighestTier {
		return nil
	}
	if asked != nil && !team.LowerTier {
		return &fault.TierNotAllowed{Team: team.ID, Asked: *asked, Highest: team.HighestTier}
	}
	r.desc.Tier = team.HighestTier
	return nil
}

// applyLengths sets the deadline and the estimates of length.
func applyLengths(now time.Time, r *request, pool *model.Pool, a *Arrival) {
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

// join attaches a submission to the request that has its key.
func (m *Machine) join(first, r *request) {
	id := r.desc.ID
	if first.fingerprint != r.fingerprint {
		m.emit(Refuse{Caller: id, Fault: &fault.KeyMismatch{}, Tier: r.desc.Tier})
		return
	}
	first.callers = append(first.callers, id)
	m.attached[id] = first.desc.ID
	m.emit(Joined{Request: first.desc.ID, Caller: id})
	if first.phase == dispatched || first.phase == concluding {
		m.emit(Join{Request: first.desc.ID, Caller: id})
	}
}

// admitWaiting applies the team's limits and the bounds on waiting requests, then registers
// the request with the dispatcher.
func (m *Machine) admitWaiting(now time.Time, r *request) {
	if f := m.limits.check(now, r.team, r.caller); f != nil {
		m.refuse(now, r, f)
		return
	}
	if m.overLocalBound() && !m.shedBelow(now, r) {
		m.refuse(now, r, &fault.Overloaded{Resource: "waiting set of the instance"})
		return
	}
	m.register(now, r)
}

func (m *Machine) overLocalBound() bool {
	total := 0
	for _, n := range m.waitingTier {
		total += n
	}
	return total > localMaxWaiting || m.waitingBytes > localMaxBytes
}

// shedBelow evicts waiting requests of the lowest tier present until the bound is kept. It
// returns false without evicting if r itself is of the lowest tier.
func (m *Machine) shedBelow(now time.Time, r *request) bool {
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

// lowestWaiting returns the newest waiting request of the lowest tier present: it has
// waited least, so the least is lost.
func (m *Machine) lowestWaiting() *request {
	for tier := model.TierCount - 1; tier >= 0; tier-- {
		if newest := m.waitingList[tier].Back(); newest != nil {
			return newest.Value.(*request)
		}
	}
	return nil
}

// CallerGone takes the disconnection of a submission's caller.
func (m *Machine) CallerGone(now time.Time, id model.RequestID) []Effect {
	r := m.requests[m.attached[id]]
	if r == nil {
		return nil
	}
	delete(m.attached, id)
	r.callers = slices.DeleteFunc(r.callers, func(c model.RequestID) bool { return c == id })
	if r.phase == dispatched || r.phase == concluding {
		m.emit(Leave{Request: r.desc.ID, Caller: id})
		return m.take()
	}
	if len(r.callers) > 0 {
		return m.take()
	}
	m.abandon(now, r)
	return m.take()
}

// abandon ends a request that nobody waits for and that was not dispatched.
func (m *Machine) abandon(now time.Time, r *request) {
	m.emit(Cancelled{Request: r.desc.ID, Phase: r.phase.String()})
	switch r.phase {
	case waiting:
		m.emit(Withdraw{Request: r.desc.ID, Pool: r.desc.Pool})
	case claiming, refusing:
		// The claim may be won after the caller has left; the answer to the command
		// decides, so that no claim stays behind.
		return
	case looking, awaiting, dispatched, concluding:
	}
	if r.claimed {
		m.refuse(now, r, &fault.Superseded{})
		return
	}
	m.forget(r)
}
