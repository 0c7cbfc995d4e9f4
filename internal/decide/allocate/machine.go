package allocate

import (
	"slices"
	"time"

	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/appointment"
	"briaryard/internal/decide/hold"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

const (
	// dispatcherTimeout is how long the dispatcher may leave a request without a message before this
	// instance decides alone. It allows for two heartbeat intervals and a round trip between failure
	// domains, and is at most half of the shortest latency objective of a stream (400 ms).
	dispatcherTimeout = 200 * time.Millisecond
	// HeartbeatInterval is the interval of the dispatcher's heartbeats to instances with waiting
	// requests.
	HeartbeatInterval = 75 * time.Millisecond
	// joinRetryInterval is the time between attempts to join a dispatcher.
	joinRetryInterval = 150 * time.Millisecond
)

// Effect is an action that the machine asks its caller to carry out.
type Effect interface{ effect() }

// Join asks the dispatcher to schedule this instance's requests and begins a session.
type Join struct {
	To      model.InstanceID
	Session uint64
}

// GrantedWork sends a joined dispatcher all granted requests of this instance. It replaces the
// dispatcher's state of the instance.
type GrantedWork struct {
	To      model.InstanceID
	Session uint64
	Works   []schedule.Work
	// Appointments are those that this instance has handed out.
	Appointments []appointment.Appointment
}

// Submit sends a request to the dispatcher.
type Submit struct {
	To      model.InstanceID
	Session uint64
	Request schedule.Request
	// Refused is what this instance has refused since its last Submit without asking.
	Refused []schedule.RefusedDemand
}

// Withdraw cancels a waiting request at the dispatcher.
type Withdraw struct {
	To      model.InstanceID
	Session uint64
	ID      model.RequestID
}

// SendReport reports the progress or the result of a granted request to the dispatcher.
type SendReport struct {
	To      model.InstanceID
	Session uint64
	Report  schedule.Report
}

// SendNotice tells the dispatcher what a backend server has said about itself to this instance.
type SendNotice struct {
	To      model.InstanceID
	Session uint64
	Notice  model.ServerNotice
}

// Decided delivers a decision to the owner of the request.
type Decided struct {
	schedule.Decision
	// LocalDecision is set if this instance decided without the dispatcher.
	LocalDecision bool
}

// DispatcherChanged reports the dispatcher that the instance follows; empty while it decides alone.
type DispatcherChanged struct {
	Dispatcher model.InstanceID
	Reason     string
}

func (Join) effect()              {}
func (GrantedWork) effect()       {}
func (Submit) effect()            {}
func (Withdraw) effect()          {}
func (SendReport) effect()        {}
func (SendNotice) effect()        {}
func (Decided) effect()           {}
func (DispatcherChanged) effect() {}

// pendingRequest is a request without a decision. remote is set while it waits at the dispatcher, to
// which it was sent at sentAt.
type pendingRequest struct {
	want   schedule.Request
	remote bool
	sentAt time.Time
}

// Machine allocates backend servers to the requests of one instance, through the dispatcher that it has
// joined or through the local scheduler.
type Machine struct {
	local      *schedule.Scheduler
	dispatcher model.InstanceID
	joined     bool
	session    uint64
	joinedAt   time.Time
	lastHeard  time.Time
	pending    map[model.RequestID]*pendingRequest
	granted    map[model.RequestID]schedule.Work
	effects    []Effect
	denials    denialCache
	self       model.InstanceID
	// bars holds what the backend servers have said about themselves to this instance.
	bars *hold.Table
	// issued holds the appointments that this instance has issued, for schedulers that do not know them.
	issued *appointment.Book
}

// New returns a machine of an instance without a dispatcher, which decides alone.
func New(self model.InstanceID, t allotment.Tolerance) *Machine {
	return &Machine{
		local:   schedule.New(schedule.Options{Tolerance: t, Share: 1}),
		pending: make(map[model.RequestID]*pendingRequest), granted: make(map[model.RequestID]schedule.Work),
		denials: newDenialCache(), self: self, bars: hold.NewTable(), issued: appointment.New(),
	}
}

// Take returns the effects since the last call.
func (m *Machine) Take() []Effect {
	m.collectLocal()
	out := m.effects
	m.effects = nil
	return out
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// Waiting returns the number of requests without a decision.
func (m *Machine) Waiting() int { return len(m.pending) }

// SetDocument applies a configuration.
func (m *Machine) SetDocument(now time.Time, d *model.RouteConfig) { m.local.SetDocument(now, d) }

// SetServers updates the records of the given backend servers.
func (m *Machine) SetServers(now time.Time, records []model.BackendServer) {
	m.local.SetServers(now, records)
}

// SetRollouts sets the last roll-outs of all services. While this instance decides alone, it grants nothing to a
// target that is not trusted.
func (m *Machine) SetRollouts(now time.Time, list []model.Rollout) {
	m.local.SetRollouts(now, list, nil)
}

// SetInstances sets the instances that share the servers, sorted by id. While this one decides alone,
// it uses its partition of the servers.
func (m *Machine) SetInstances(now time.Time, self model.InstanceID, all []model.InstanceID) {
	if at := slices.Index(all, self); at >= 0 {
		m.local.SetPartition(now, at, len(all))
		return
	}
	m.local.SetShare(now, 1/float64(max(len(all), 1)))
}

// SetDispatcher names the instance to follow; empty for none.
func (m *Machine) SetDispatcher(now time.Time, id model.InstanceID) {
	if id == m.dispatcher {
		return
	}
	m.dispatcher = id
	m.decideLocally(now, "the dispatcher changed")
	m.join(now)
}

// join begins a new session with the dispatcher.
func (m *Machine) join(now time.Time) {
	if m.dispatcher == "" {
		return
	}
	m.session++
	m.joinedAt = now
	m.emit(Join{To: m.dispatcher, Session: m.session})
}

// decideLocally leaves the dispatcher and moves the requests that wait there to the local scheduler.
func (m *Machine) decideLocally(now time.Time, reason string) {
	if m.joined {
		m.joined = false
		m.emit(DispatcherChanged{Reason: reason})
		m.local.AdoptAppointments(now, m.issued.All())
	}
	for _, p := range m.pending {
		if p.remote {
			p.remote = false
			m.local.Submit(now, p.want)
		}
	}
}

// Joined handles the dispatcher's acceptance of a join: it sends the granted requests, then moves the
// waiting ones from the local scheduler to the dispatcher.
func (m *Machine) Joined(now time.Time, from model.InstanceID, session uint64) {
	if from != m.dispatcher || session != m.session || m.joined {
		return
	}
	m.joined, m.lastHeard = true, now
	m.denials = newDenialCache()
	m.emit(DispatcherChanged{Dispatcher: from, Reason: "the dispatcher accepted this instance's requests"})
	m.collectLocal()
	works := make([]schedule.Work, 0, len(m.granted))
	for _, w := range m.granted {
		works = append(works, w)
	}
	m.issued.Expire(now)
	m.emit(GrantedWork{To: from, Session: session, Works: works, Appointments: m.issued.All()})
	for _, n := range m.bars.Notices(now) {
		m.emit(SendNotice{To: from, Session: session, Notice: n})
	}
	for id, p := range m.pending {
		m.local.Withdraw(now, id)
		m.submit(now, p)
	}
}

// submit sends a request to the dispatcher.
func (m *Machine) submit(now time.Time, p *pendingRequest) {
	p.remote, p.sentAt = true, now
	m.emit(Submit{To: m.dispatcher, Session: m.session, Request: p.want, Refused: m.denials.takeRefused(now)})
}

// Submit adds a request. Its decision is emitted as Decided.
func (m *Machine) Submit(now time.Time, w schedule.Request) {
	p := &pendingRequest{want: w}
	m.pending[w.ID] = p
	if !m.joined {
		m.local.Submit(now, w)
		return
	}
	if d, ok := m.denials.lookup(now, &w); ok && !w.Hedge {
		if d.Reason == schedule.DeniedQueue {
			m.denials.countRefused(now, &w, m.local.RefusedHold(now, &w))
		}
		m.complete(now, p, d, true)
		return
	}
	m.submit(now, p)
}

// Withdraw removes a request that has no decision yet.
func (m *Machine) Withdraw(now time.Time, id model.RequestID) {
	p := m.pending[id]
	if p == nil {
		return
	}
	delete(m.pending, id)
	if p.remote && m.joined {
		m.emit(Withdraw{To: m.dispatcher, Session: m.session, ID: id})
		return
	}
	m.local.Withdraw(now, id)
}

// Report handles the progress or the result of a granted request.
func (m *Machine) Report(now time.Time, r schedule.Report) {
	w, ok := m.granted[r.ID]
	if !ok {
		return
	}
	if r.Outcome == schedule.Began {
		w.Started = true
		m.granted[r.ID] = w
	} else {
		delete(m.granted, r.ID)
	}
	m.local.Report(now, r)
	if m.joined {
		m.emit(SendReport{To: m.dispatcher, Session: m.session, Report: r})
	}
}

// HandleNotice takes what a backend server has said about itself in an answer to this instance. The local
// scheduler and the dispatcher then grant that server to this instance no more, or for the time that the
// server asked for.
func (m *Machine) HandleNotice(now time.Time, n model.ServerNotice) {
	if !m.bars.Apply(now, n) {
		return
	}
	m.local.HandleNotice(now, m.self, n)
	if m.joined {
		m.emit(SendNotice{To: m.dispatcher, Session: m.session, Notice: n})
	}
}

// HandleDecision handles a decision of the dispatcher. A grant for a request that no longer waits
// there is returned as unused.
func (m *Machine) HandleDecision(now time.Time, from model.InstanceID, session uint64, d schedule.Decision) {
	if from != m.dispatcher || session != m.session || !m.joined {
		return
	}
	m.lastHeard = now
	p := m.pending[d.ID]
	if p == nil || !p.remote {
		if !d.Denied {
			m.emit(SendReport{To: from, Session: session, Report: schedule.Report{
				ID: d.ID, Server: d.Server.ID, Outcome: schedule.Unused, Refund: !d.ID.IsHedge()}})
		}
		return
	}
	if d.Appointment.Work > 0 {
		d.Appointment.Fingerprint, d.Appointment.At = p.want.Fingerprint, now.Add(d.RetryAfter)
		d.Appointment.Lane = appointment.Lane{Service: p.want.Service, Rank: p.want.Rank}
	}
	if !p.want.Hedge {
		m.denials.record(now, &p.want, d)
	}
	if d.Denied && !p.want.Hedge && d.Reason != schedule.DeniedAllotment {
		m.local.RememberRefused(now, &p.want)
	}
	m.complete(now, p, d, false)
}

// complete emits the decision about a request and records a grant.
func (m *Machine) complete(now time.Time, p *pendingRequest, d schedule.Decision, alone bool) {
	delete(m.pending, d.ID)
	if d.Appointment.Fingerprint != 0 {
		m.issued.Adopt(d.Appointment.At.Add(-d.RetryAfter), d.Appointment)
	}
	if !d.Denied {
		m.issued.Remove(p.want.Fingerprint)
		w := schedule.Work{
			ID: d.ID, Service: p.want.Service, Server: d.Server.ID, Team: p.want.Team, Rank: p.want.Rank,
			Prompt: p.want.Prompt, Output: p.want.Output, Expected: p.want.Expected, Route: p.want.Route, HedgeRoute: p.want.HedgeRoute,
		}
		m.granted[d.ID] = w
		if !alone {
			// Grants of the dispatcher are charged to this instance's share of the allotments, so that
			// nothing is handed out a second time when the dispatcher is lost. The second call of a hedged
			// request is not charged.
			m.local.Adopt(now, w, !p.want.Hedge)
			// A new dispatcher has learned no times yet.
			m.local.HedgeTimes(now, &p.want, &d)
		}
	}
	m.emit(Decided{Decision: d, LocalDecision: alone})
}

// collectLocal takes the decisions of the local scheduler.
func (m *Machine) collectLocal() {
	for _, d := range m.local.Take() {
		p := m.pending[d.ID]
		if p == nil || p.remote {
			continue
		}
		m.complete(time.Time{}, p, d, true)
	}
}

// HandleHeartbeat handles a heartbeat of the dispatcher.
func (m *Machine) HandleHeartbeat(now time.Time, from model.InstanceID, session uint64) {
	if from == m.dispatcher && session == m.session {
		m.lastHeard = now
	}
}

// Reset handles the possible loss of messages between this instance and another: it begins a new session
// if that one is the dispatcher.
func (m *Machine) Reset(now time.Time, from model.InstanceID) {
	if from == m.dispatcher {
		m.decideLocally(now, "messages to the dispatcher may have been lost")
		m.join(now)
	}
}

// Unreachable handles a message that could not be sent, or a connection that has ended.
func (m *Machine) Unreachable(now time.Time, to model.InstanceID) {
	if to == m.dispatcher {
		m.decideLocally(now, "the dispatcher cannot be reached")
	}
}

// Tick leaves a silent dispatcher, retries the join, and advances the local scheduler.
func (m *Machine) Tick(now time.Time) {
	if m.joined && m.dispatcherSilent(now) {
		m.decideLocally(now, "the dispatcher did not respond to waiting requests")
	}
	if !m.joined && now.Sub(m.joinedAt) >= joinRetryInterval {
		m.join(now)
	}
	m.issued.Expire(now)
	m.local.Tick(now)
}

// dispatcherSilent reports whether a request has waited for dispatcherTimeout at the dispatcher and no
// message has arrived from it in that time.
func (m *Machine) dispatcherSilent(now time.Time) bool {
	if now.Sub(m.lastHeard) < dispatcherTimeout {
		return false
	}
	for _, p := range m.pending {
		if p.remote && now.Sub(p.sentAt) >= dispatcherTimeout {
			return true
		}
	}
	return false
}

// Idle reports whether no request waits and the dispatcher is joined.
func (m *Machine) Idle() bool { return len(m.pending) == 0 && m.joined }
