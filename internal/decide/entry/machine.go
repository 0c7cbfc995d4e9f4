package entry

import (
	"container/list"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

const (
	// maxDispatches bounds how often a request is granted again after a backend server
	// provably did not run it.
	maxDispatches = 4
	// maxControlPerTeam bounds a team's commands in flight, so that one team's retries
	// cannot fill the control group's ring.
	maxControlPerTeam = 256
	// concludeTimeout bounds how long a whole answer waits for its outcome to be stored.
	concludeTimeout = 2 * time.Second
	// localMaxWaiting bounds the requests that wait in this instance; each holds a body.
	localMaxWaiting = 20_000
	// localMaxBytes bounds the bodies that wait in this instance.
	localMaxBytes = 96 << 20
)

type phase uint8

const (
	// looking: the control group was asked for the key.
	looking phase = iota
	// waiting: registered with the dispatcher.
	waiting
	// claiming: granted; the claim is on its way.
	claiming
	// dispatched: handed to a transfer.
	dispatched
	// concluding: the answer is whole; the outcome is being stored.
	concluding
	// awaiting: another attempt with the key holds the claim.
	awaiting
	// refusing: a barrier or release is on its way before not_run is answered.
	refusing
)

var phaseNames = [...]string{"looking", "waiting", "claiming", "dispatched", "concluding", "awaiting", "refusing"}

func (p phase) String() string { return phaseNames[p] }

// Arrival is a submission as the machine sees it.
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

// request is one attempt. Submissions with the same key that arrive at this instance while
// it lives attach to it as callers.
type request struct {
	desc        model.Descriptor
	caller      model.CallerID
	team        *model.Team
	call        model.Call
	fingerprint model.Fingerprint
	phase       phase
	// callers lists the attached submissions, the request's own first.
	callers []model.RequestID
	grant   model.Grant
	// granted is set while the dispatcher counts the request as outstanding.
	granted bool
	// claimed is set while this attempt holds the key's claim.
	claimed    bool
	seenIndex  uint64
	dispatches int
	// since is when the phase began.
	since time.Time
	// refusal is the failure that follows a barrier or release.
	refusal fault.Fault
	// pendingControl is set while a command is in flight.
	pendingControl bool
	// listed is the request's place in the list of its tier while it waits for a grant.
	listed *list.Element
}

func (r *request) keyed() bool { return !r.desc.Key.IsZero() }

// Machine owns the requests of one instance.
type Machine struct {
	self model.InstanceID
	// config is nil until the first configuration is in force; requests are refused until then.
	config   *model.Config
	view     *model.View
	requests map[model.RequestID]*request
	// attached maps each submission to the request that serves it.
	attached map[model.RequestID]model.RequestID
	byKey    map[model.KeyHash]*request
	limits   limiter
	control  map[model.TeamID]int
	// waitingBytes and waitingTier count the requests that hold a body and have not been dispatched.
	waitingBytes int
	waitingTier  [model.TierCount]int
	// waitingList holds the requests of each tier that wait for a grant, oldest first.
	waitingList [model.TierCount]list.List
	stopping    bool
	withdrawn   bool
	draining    bool
	out         []Effect
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
		control:  make(map[model.TeamID]int),
	}
}

// SetConfig takes a new configuration. Requests keep the team's limits they arrived under.
func (m *Machine) SetConfig(c *model.Config) { m.config = c }

// SetView takes a new membership view.
func (m *Machine) SetView(v *model.View) { m.view = v }

// SetWithdrawn states whether new requests are refused because the configuration cannot
// be confirmed.
func (m *Machine) SetWithdrawn(withdrawn bool) { m.withdrawn = withdrawn }

// Waiting returns the number of requests of each tier that have not been dispatched.
func (m *Machine) Waiting() [model.TierCount]int { return m.waitingTier }

// Idle reports that there is no request, so that no time limit runs.
func (m *Machine) Idle() bool { return len(m.requests) == 0 }

// Drain refuses new requests from now on. Drained follows when no request is left.
func (m *Machine) Drain() []Effect {
	m.stopping = true
	m.draining = true
	m.checkDrained()
	return m.take()
}

func (m *Machine) checkDrained() {
	if m.draining && len(m.requests) == 0 {
		m.draining = false
		m.emit(Drained{})
	}
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) take() []Effect {
	out := m.out
	m.out = nil
	return out
}

// enter moves a request to a phase.
func (m *Machine) enter(r *request, p phase, now time.Time) {
	m.unlist(r)
	if p == waiting {
		r.listed = m.waitingList[r.desc.Tier].PushBack(r)
	}
	r.phase = p
	r.since = now
}

// unlist removes a request from the list of waiting ones.
func (m *Machine) unlist(r *request) {
	if r.listed != nil {
		m.waitingList[r.desc.Tier].Remove(r.listed)
		r.listed = nil
	}
}

// command sends a command for a request, unless the team has too many in flight.
func (m *Machine) command(r *request, c state.Command) bool {
	if m.control[r.desc.Team] >= maxControlPerTeam {
		return false
	}
	m.control[r.desc.Team]++
	r.pendingControl = true
	m.emit(Control{Request: r.desc.ID, Team: r.desc.Team, Command: c})
	return true
}

func (m *Machine) commandDone(team model.TeamID) {
	m.control[team]--
	if m.control[team] <= 0 {
		delete(m.control, team)
	}
}

// register puts a request in the dispatcher's order.
func (m *Machine) register(now time.Time, r *request) {
	m.enter(r, waiting, now)
	m.emit(Register{Descriptor: r.desc})
}

// returnGrant gives an unused grant back.
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

// refuse ends a request that has not run. A keyed request first passes a barrier, or
// releases its claim, so that not_run is true for the key and not only for this attempt.
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

// finishRefused tells all callers of a request and forgets it.
func (m *Machine) finishRefused(r *request, f fault.Fault) {
	for _, c := range r.callers {
		m.emit(Refuse{Caller: c, Fault: f, Tier: r.desc.Tier})
	}
	m.forget(r)
}

// forget removes a request.
func (m *Machine) forget(r *request) {
	m.returnGrant(r, "request ended")
	for _, c := range r.callers {
		delete(m.attached, c)
		m.emit(Released{Caller: c})
	}
	m.unlist(r)
	m.uncount(r)
	m.limits.end(r.desc.Team, r.caller)
	if m.byKey[r.desc.Key] == r {
		delete(m.byKey, r.desc.Key)
	}
	delete(m.requests, r.desc.ID)
	m.checkDrained()
}

// count adds a request to the bounds on waiting requests.
func (m *Machine) count(r *request) {
	m.waitingTier[r.desc.Tier]++
	m.waitingBytes += bodySize(&r.call)
}

// uncount removes it again, once, when it is dispatched or ends before.
func (m *Machine) uncount(r *request) {
	if r.phase >= dispatched && r.phase <= concluding {
		return
	}
	m.waitingTier[r.desc.Tier]--
	m.waitingBytes -= bodySize(&r.call)
}

func bodySize(c *model.Call) int { return len(c.Prompt) + len(c.Body) }
