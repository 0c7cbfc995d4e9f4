package entry

import (
	"container/list"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

const (
	// maxDispatches bounds how often a request is dispatched when backend servers provably
	// do not run it.
	maxDispatches = 4
	// maxCommandsPerTeam bounds a team's commands in flight, so that one team's retries
	// cannot fill the control group's ring.
	maxCommandsPerTeam = 256
	// concludeTimeout bounds how long a complete answer waits for its outcome to be stored.
	concludeTimeout = 2 * time.Second
	// localMaxWaiting bounds the undispatched requests in this instance; each holds a body.
	localMaxWaiting = 20_000
	// localMaxWaitingBytes bounds the total body size of the undispatched requests in this
	// instance.
	localMaxWaitingBytes = 96 << 20
)

// phase is the state of a request in the machine.
type phase uint8

const (
	// looking: the state of the key is being looked up in the control group.
	looking phase = iota
	// waiting: registered with the dispatcher.
	waiting
	// claiming: granted; the claim command is in flight.
	claiming
	// dispatched: handed to a transfer.
	dispatched
	// concluding: the answer is complete; its outcome is being stored.
	concluding
	// awaiting: another attempt with the key holds the claim.
	awaiting
	// refusing: the command that sets a barrier or releases the claim is in flight; not_run
	// is answered only after it.
	refusing
)

var phaseNames = [...]string{"looking", "waiting", "claiming", "dispatched", "concluding", "awaiting", "refusing"}

func (p phase) String() string { return phaseNames[p] }

// Arrival is a caller's submission of a request.
type Arrival struct {
	ID      model.RequestID
	Team    model.TeamID
	Caller  model.CallerID
	Pool    model.PoolID
	Kind    model.ServerKind
	Tier    *model.Tier
	Timeout time.Duration
	// Key is the idempotency key, or empty.
	Key         string
	Fingerprint model.Fingerprint
	Call        model.Call
}

// request is one attempt to run a request. Submissions with the same key that arrive at this
// instance while it exists attach to it as callers.
type request struct {
	desc        model.Descriptor
	caller      model.CallerID
	team        *model.Team
	call        model.Call
	fingerprint model.Fingerprint
	phase       phase
	// callers lists the attached submissions, starting with the request's own.
	callers []model.RequestID
	grant   model.Grant
	// granted is set while the dispatcher counts the request as outstanding.
	granted bool
	// claimed is set while this attempt holds, or may hold, the key's claim.
	claimed bool
	// seenIndex is the index that the lookup of the unclaimed key returned; the claim states it.
	seenIndex  uint64
	dispatches int
	// phaseStart is when the current phase began.
	phaseStart time.Time
	// refusal is the fault to answer with once the barrier is set or the claim is released.
	refusal fault.Fault
	// commandPending is set while a command is in flight.
	commandPending bool
	// waitingElem is the request's element in the waiting list of its tier, or nil if the
	// request does not wait for a grant.
	waitingElem *list.Element
}

func (r *request) keyed() bool { return !r.desc.Key.IsZero() }

// Machine holds the state of the requests that one instance has accepted.
type Machine struct {
	self model.InstanceID
	// config is nil until the first configuration is in force; until then requests are refused.
	config   *model.Config
	view     *model.View
	requests map[model.RequestID]*request
	// attached maps each submission to the request that serves it.
	attached map[model.RequestID]model.RequestID
	byKey    map[model.KeyHash]*request
	limits   limiter
	// inFlight counts the control group commands of each team that are not yet answered.
	inFlight map[model.TeamID]int
	// waitingBytes and waitingTier count the body bytes and, by tier, the number of requests
	// that have not been dispatched.
	waitingBytes int
	waitingTier  [model.TierCount]int
	// waitingList holds the requests of each tier that wait for a grant, oldest first.
	waitingList [model.TierCount]list.List
	// stopping is set by Drain and makes the machine refuse new requests.
	stopping  bool
	withdrawn bool
	// draining is set from Drain until the last request has ended.
	draining bool
	// effects collects the effects of the current step.
	effects []Effect
}

// New returns a machine without requests.
func New(self model.InstanceID) *Machine {
	return &Machine{
		self:     self,
		view:     &model.View{},
		requests: make(map[model.RequestID]*request),
		attached: make(map[model.RequestID]model.RequestID),
		byKey:    make(map[model.KeyHash]*request),
		limits:   newLimiter(),
		inFlight: make(map[model.TeamID]int),
	}
}

// SetConfig replaces the configuration. Requests in progress keep the team limits that were
// in force when they arrived.
func (m *Machine) SetConfig(c *model.Config) { m.config = c }

// SetView replaces the membership view.
func (m *Machine) SetView(v *model.View) { m.view = v }

// SetWithdrawn sets whether new requests are refused because the configuration cannot be
// confirmed.
func (m *Machine) SetWithdrawn(withdrawn bool) { m.withdrawn = withdrawn }

// Waiting returns the number of requests of each tier that have not been dispatched.
func (m *Machine) Waiting() [model.TierCount]int { return m.waitingTier }

// Idle reports whether the machine holds no request, so that no time limit is running.
func (m *Machine) Idle() bool { return len(m.requests) == 0 }

// Drain refuses new requests from now on. The Drained effect follows when no request is left.
func (m *Machine) Drain() []Effect {
	m.stopping = true
	m.draining = true
	m.checkDrained()
	return m.takeEffects()
}

// checkDrained emits Drained once when a draining machine holds no request any more.
func (m *Machine) checkDrained() {
	if m.draining && len(m.requests) == 0 {
		m.draining = false
		m.emit(Drained{})
	}
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// takeEffects returns the effects of the current step and clears them.
func (m *Machine) takeEffects() []Effect {
	out := m.effects
	m.effects = nil
	return out
}

// enter moves a request to a phase and keeps the waiting list of its tier up to date.
func (m *Machine) enter(r *request, p phase, now time.Time) {
	m.removeFromWaiting(r)
	if p == waiting {
		r.waitingElem = m.waitingList[r.desc.Tier].PushBack(r)
	}
	r.phase = p
	r.phaseStart = now
}

// removeFromWaiting removes a request from the waiting list of its tier, if it is in it.
func (m *Machine) removeFromWaiting(r *request) {
	if r.waitingElem != nil {
		m.waitingList[r.desc.Tier].Remove(r.waitingElem)
		r.waitingElem = nil
	}
}

// command sends a command for a request. It returns false without sending if the team has
// too many commands in flight.
func (m *Machine) command(r *request, c state.Command) bool {
	if m.inFlight[r.desc.Team] >= maxCommandsPerTeam {
		return false
	}
	m.inFlight[r.desc.Team]++
	r.commandPending = true
	m.emit(Control{Request: r.desc.ID, Team: r.desc.Team, Command: c})
	return true
}

// commandDone takes an answered command off the team's commands in flight.
func (m *Machine) commandDone(team model.TeamID) {
	m.inFlight[team]--
	if m.inFlight[team] <= 0 {
		delete(m.inFlight, team)
	}
}

// register adds a request to the dispatcher's queue.
func (m *Machine) register(now time.Time, r *request) {
	m.enter(r, waiting, now)
	m.emit(Register{Descriptor: r.desc})
}

// returnGrant returns an unused grant to the dispatcher, if the request has one.
func (m *Machine) returnGrant(r *request, reason string) {
	if !r.granted {
		return
	}
	r.granted = false
	m.emit(Report{Progress: model.Progress{
		Request: r.desc.ID, Pool: r.desc.Pool, Server: r.grant.Server,
		Epoch: r.grant.Epoch, Kind: model.ProgressReturned,
	}, Reason: reason})
}

// refuse ends a request that has not run. A keyed request first sets a barrier or releases
// its claim, so that not_run holds for the key and not only for this attempt.
func (m *Machine) refuse(now time.Time, r *request, f fault.Fault) {
	if !r.keyed() || fault.MappingOf(f).RunState != model.NotRun {
		m.finishRefused(r, f)
		return
	}
	r.refusal = f
	m.enter(r, refusing, now)
	var c state.Command = state.Refuse{Key: r.desc.Key, Request: r.desc.ID}
	if r.claimed {
		c = state.Release{Key: r.desc.Key, Request: r.desc.ID}
	}
	if !m.command(r, c) {
		m.finishRefused(r, &fault.ControlUnavailable{Operation: "refusal"})
	}
}

// finishRefused refuses all callers of a request and removes the request.
func (m *Machine) finishRefused(r *request, f fault.Fault) {
	for _, c := range r.callers {
		m.emit(Refuse{Caller: c, Fault: f, Tier: r.desc.Tier})
	}
	m.remove(r)
}

// remove deletes a request, returns its unused grant, detaches its callers and updates the
// limits.
func (m *Machine) remove(r *request) {
	m.returnGrant(r, "request ended")
	for _, c := range r.callers {
		delete(m.attached, c)
		m.emit(Released{Caller: c})
	}
	m.removeFromWaiting(r)
	m.uncountWaiting(r)
	m.limits.end(r.desc.Team, r.caller)
	if m.byKey[r.desc.Key] == r {
		delete(m.byKey, r.desc.Key)
	}
	delete(m.requests, r.desc.ID)
	m.checkDrained()
}

// countWaiting counts a request against the bounds on waiting requests.
func (m *Machine) countWaiting(r *request) {
	m.waitingTier[r.desc.Tier]++
	m.waitingBytes += bodySize(&r.call)
}

// uncountWaiting reverses countWaiting when a request is dispatched or ends before that. It
// does nothing for a request that was dispatched already.
func (m *Machine) uncountWaiting(r *request) {
	if r.phase >= dispatched && r.phase <= concluding {
		return
	}
	m.waitingTier[r.desc.Tier]--
	m.waitingBytes -= bodySize(&r.call)
}

func bodySize(c *model.Call) int { return len(c.Prompt) + len(c.Body) }
