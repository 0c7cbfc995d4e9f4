package allocate

import (
	"slices"
	"time"

	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

const (
	// silentAfter is how long the dispatcher may leave a request without a sign before this
	// instance decides alone. It is twice the interval of the dispatcher's beats and a round trip
	// between failure domains, and a third of the shortest objective of a stream.
	silentAfter = 200 * time.Millisecond
	// BeatInterval is the interval of the dispatcher's signs to instances whose requests wait.
	BeatInterval = 75 * time.Millisecond
	// joinInterval is the time between attempts to join a dispatcher.
	joinInterval = 150 * time.Millisecond
)

// Effect is something that the service does for the machine.
type Effect interface{ effect() }

// Join asks the dispatcher to take this instance's requests and begins a session.
type Join struct {
	To      model.InstanceID
	Session uint64
}

// Account tells a joined dispatcher everything that runs for this instance. It takes the place of
// what the dispatcher knows.
type Account struct {
	To      model.InstanceID
	Session uint64
	Works   []schedule.Work
}

// Ask sends a request to the dispatcher.
type Ask struct {
	To      model.InstanceID
	Session uint64
	Want    schedule.Want
}

// Withdraw takes a request back from the dispatcher.
type Withdraw struct {
	To      model.InstanceID
	Session uint64
	ID      model.RequestID
}

// Tell reports the course of granted work to the dispatcher.
type Tell struct {
	To      model.InstanceID
	Session uint64
	Report  schedule.Report
}

// Decided hands a decision to the owner of the request.
type Decided struct {
	schedule.Decision
	// Alone is set if this instance decided without the dispatcher.
	Alone bool
}

// Followed states whom the instance follows; empty while it decides alone.
type Followed struct {
	Dispatcher model.InstanceID
	Reason     string
}

func (Join) effect()     {}
func (Account) effect()  {}
func (Ask) effect()      {}
func (Withdraw) effect() {}
func (Tell) effect()     {}
func (Decided) effect()  {}
func (Followed) effect() {}

type ask struct {
	want   schedule.Want
	remote bool
	at     time.Time
}

// Machine allocates for one instance.
type Machine struct {
	local      *schedule.Scheduler
	dispatcher model.InstanceID
	joined     bool
	session    uint64
	joinedAt   time.Time
	heard      time.Time
	asks       map[model.RequestID]*ask
	works      map[model.RequestID]schedule.Work
	effects    []Effect
	denials    standing
}

// New returns a machine that decides alone.
func New(t allotment.Tolerance) *Machine {
	return &Machine{
		local: schedule.New(schedule.Options{Tolerance: t, Share: 1}),
		asks:  make(map[model.RequestID]*ask), works: make(map[model.RequestID]schedule.Work),
		denials: newStanding(),
	}
}

// Take returns the effects since the last call.
func (m *Machine) Take() []Effect {
	m.collect()
	out := m.effects
	m.effects = nil
	return out
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// Waiting returns the number of requests without a decision.
func (m *Machine) Waiting() int { return len(m.asks) }

// SetDocument takes a configuration.
func (m *Machine) SetDocument(now time.Time, d *model.Document) { m.local.SetDocument(now, d) }

// SetServers takes the records of the backend servers.
func (m *Machine) SetServers(now time.Time, records []model.BackendServer) {
	m.local.SetServers(now, records)
}

// SetInstances takes the instances that share the servers, by id. This one decides about its part of
// them while it decides alone.
func (m *Machine) SetInstances(now time.Time, self model.InstanceID, all []model.InstanceID) {
	if at := slices.Index(all, self); at >= 0 {
		m.local.SetPart(now, at, len(all))
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
	m.alone(now, "the dispatcher changed")
	m.join(now)
}

// join asks the dispatcher to take this instance's requests.
func (m *Machine) join(now time.Time) {
	if m.dispatcher == "" {
		return
	}
	m.session++
	m.joinedAt = now
	m.emit(Join{To: m.dispatcher, Session: m.session})
}

// alone moves the requests that wait at the dispatcher to this instance.
func (m *Machine) alone(now time.Time, reason string) {
	if m.joined {
		m.joined = false
		m.emit(Followed{Reason: reason})
	}
	for _, a := range m.asks {
		if a.remote {
			a.remote = false
			m.local.Ask(now, a.want)
		}
	}
}

// Joined takes the dispatcher's consent.
func (m *Machine) Joined(now time.Time, from model.InstanceID, session uint64) {
	if from != m.dispatcher || session != m.session || m.joined {
		return
	}
	m.joined, m.heard = true, now
	m.denials = newStanding()
	m.emit(Followed{Dispatcher: from, Reason: "it has taken this instance's requests"})
	m.collect()
	works := make([]schedule.Work, 0, len(m.works))
	for _, w := range m.works {
		works = append(works, w)
	}
	m.emit(Account{To: from, Session: session, Works: works})
	for id, a := range m.asks {
		m.local.Withdraw(now, id)
		m.send(now, a)
	}
}

func (m *Machine) send(now time.Time, a *ask) {
	a.remote, a.at = true, now
	m.emit(Ask{To: m.dispatcher, Session: m.session, Want: a.want})
}

// Ask adds a request. Its decision comes as Decided.
func (m *Machine) Ask(now time.Time, w schedule.Want) {
	a := &ask{want: w}
	m.asks[w.ID] = a
	if !m.joined {
		m.local.Ask(now, w)
		return
	}
	if d, ok := m.denials.find(now, &w); ok {
		m.decided(now, a, d, true)
		return
	}
	m.send(now, a)
}

// Withdraw takes a request back that has no decision.
func (m *Machine) Withdraw(now time.Time, id model.RequestID) {
	a := m.asks[id]
	if a == nil {
		return
	}
	delete(m.asks, id)
	if a.remote && m.joined {
		m.emit(Withdraw{To: m.dispatcher, Session: m.session, ID: id})
		return
	}
	m.local.Withdraw(now, id)
}

// Report takes the course of granted work.
func (m *Machine) Report(now time.Time, r schedule.Report) {
	w, ok := m.works[r.ID]
	if !ok {
		return
	}
	if r.Outcome == schedule.Began {
		w.Started = true
		m.works[r.ID] = w
	} else {
		delete(m.works, r.ID)
	}
	m.local.Report(now, r)
	if m.joined {
		m.emit(Tell{To: m.dispatcher, Session: m.session, Report: r})
	}
}

// Verdict takes the dispatcher's decision.
func (m *Machine) Verdict(now time.Time, from model.InstanceID, session uint64, d schedule.Decision) {
	if from != m.dispatcher || session != m.session || !m.joined {
		return
	}
	m.heard = now
	a := m.asks[d.ID]
	if a == nil || !a.remote {
		if !d.Denied {
			m.emit(Tell{To: from, Session: session, Report: schedule.Report{
				ID: d.ID, Server: d.Server.ID, Outcome: schedule.Unused, Refund: true}})
		}
		return
	}
	m.denials.note(now, &a.want, d)
	m.decided(now, a, d, false)
}

// decided ends a request's wait.
func (m *Machine) decided(now time.Time, a *ask, d schedule.Decision, alone bool) {
	delete(m.asks, d.ID)
	if !d.Denied {
		w := schedule.Work{
			ID: d.ID, Service: a.want.Service, Server: d.Server.ID, Team: a.want.Team, Rank: a.want.Rank,
			Prompt: a.want.Prompt, Output: a.want.Output, Expected: a.want.Expected,
		}
		m.works[d.ID] = w
		if !alone {
			// What the dispatcher lets through for this instance uses up its share, so that there is
			// nothing more to hand out when the dispatcher is lost.
			m.local.Adopt(now, w, true)
		}
	}
	m.emit(Decided{Decision: d, Alone: alone})
}

// collect takes the decisions of the own scheduler.
func (m *Machine) collect() {
	for _, d := range m.local.Take() {
		a := m.asks[d.ID]
		if a == nil || a.remote {
			continue
		}
		m.decided(time.Time{}, a, d, true)
	}
}

// Heard takes a sign of the dispatcher that decides nothing.
func (m *Machine) Heard(now time.Time, from model.InstanceID, session uint64) {
	if from == m.dispatcher && session == m.session {
		m.heard = now
	}
}

// Reset acts on messages that may be lost between this instance and another.
func (m *Machine) Reset(now time.Time, from model.InstanceID) {
	if from == m.dispatcher {
		m.alone(now, "messages to the dispatcher may be lost")
		m.join(now)
	}
}

// Unreachable acts on a message that could not be sent, or a connection that ended.
func (m *Machine) Unreachable(now time.Time, to model.InstanceID) {
	if to == m.dispatcher {
		m.alone(now, "the dispatcher cannot be reached")
	}
}

// Tick acts on the passage of time.
func (m *Machine) Tick(now time.Time) {
	if m.joined && m.silent(now) {
		m.alone(now, "the dispatcher left requests without a sign")
	}
	if !m.joined && now.Sub(m.joinedAt) >= joinInterval {
		m.join(now)
	}
	m.local.Tick(now)
}

func (m *Machine) silent(now time.Time) bool {
	if now.Sub(m.heard) < silentAfter {
		return false
	}
	for _, a := range m.asks {
		if a.remote && now.Sub(a.at) >= silentAfter {
			return true
		}
	}
	return false
}

// Quiet reports that nothing waits and the dispatcher is followed.
func (m *Machine) Quiet() bool { return len(m.asks) == 0 && m.joined }
