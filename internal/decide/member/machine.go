package member

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// Timeouts and intervals of the membership.
const (
	// SuspectAfter is the silence after which a member is suspect and gets no new work. It equals
	// three heartbeat intervals.
	SuspectAfter = 1500 * time.Millisecond
	// GoneAfter is the silence after which a member is gone.
	GoneAfter = 3 * time.Second
	// HoldFor is how long expiry is suspended after the observer was paused or disconnected.
	HoldFor = 3 * time.Second
	// PauseGap is the time between two ticks above which the observer counts as paused.
	PauseGap = time.Second
	// Remember is how long the record of a gone incarnation is retained, so that a delayed
	// message does not revive it.
	Remember = 10 * time.Minute
	// SettleAfter is the longest wait for the complete records of another instance.
	SettleAfter = 5 * time.Second
	// DigestEvery is the interval between digests, each of which goes to the next connected peer.
	DigestEvery = time.Second
)

// instance is the record of another instance and the state of the connection to it.
type instance struct {
	record model.Instance
	// connected tells whether a connection is open, silent whether it has stopped receiving
	// data. lastReceived is when data last arrived.
	connected    bool
	silent       bool
	lastReceived time.Time
	// observedState is what this observer derives from its own connection: alive, suspect or
	// gone.
	observedState model.MemberState
	goneAt        time.Time
}

// server is the record of a backend server and the state of its home.
type server struct {
	record model.BackendServer
	// lastHeartbeat is when the last heartbeat arrived, if this instance is the home.
	lastHeartbeat time.Time
	// orphanedAt is when the home was found to be gone; zero while it is not.
	orphanedAt time.Time
	// lost means that the server counts as gone in the view although its record does not say so:
	// no instance adopted it in time, or its heartbeats stopped while this instance was isolated.
	lost   bool
	goneAt time.Time
}

// Machine holds the membership as seen by one instance and the messages it has yet to send.
type Machine struct {
	self            model.Instance
	instances       map[model.InstanceID]*instance
	servers         map[model.BackendServerID]*server
	startedAt       time.Time
	lastTick        time.Time
	expiryHeldUntil time.Time
	// partitioned means that more than half of the other instances are silent.
	partitioned bool
	// isolated means that the last connection to another instance has ended.
	isolated     bool
	settled      bool
	lastDigestAt time.Time
	digestPeer   int
	superseded   model.Incarnation

	version     uint64
	changed     bool
	broadcast   Records
	outbox      []Send
	changes     []Change
	holdReasons []string
}

// New returns the machine of an instance. alone means that there are no other instances to get
// records from.
func New(now time.Time, self model.Instance, alone bool) *Machine {
	return &Machine{
		self: self, startedAt: now, lastTick: now, lastDigestAt: now, settled: alone, changed: true,
		instances: make(map[model.InstanceID]*instance),
		servers:   make(map[model.BackendServerID]*server),
	}
}

// Self returns this instance's own record.
func (m *Machine) Self() model.Instance { return m.self }

// SetSelf changes this instance's own record and broadcasts it. A state that is less final than
// the current one is ignored.
func (m *Machine) SetSelf(state model.MemberState, withdrawn bool) {
	if finality(state) >= finality(m.self.State) {
		m.self.State = state
	}
	m.self.Withdrawn = withdrawn
	m.publishSelf()
}

// publishSelf increments the sequence of the own record and broadcasts it.
func (m *Machine) publishSelf() {
	m.self.Sequence++
	m.broadcast.Instances = append(m.broadcast.Instances, m.self)
	m.changed = true
}

// View returns the current view if it has changed since the last call.
func (m *Machine) View() (*model.View, bool) {
	if !m.changed {
		return nil, false
	}
	m.changed = false
	m.version++
	v := &model.View{Version: m.version, Settled: m.settled, Instances: []model.Instance{m.self}}
	for _, i := range m.instances {
		r := i.record
		if i.observedState == model.Gone || r.State == model.Alive {
			r.State = i.observedState
		}
		v.Instances = append(v.Instances, r)
	}
	for _, s := range m.servers {
		v.Servers = append(v.Servers, s.viewRecord())
	}
	slices.SortFunc(v.Instances, func(a, b model.Instance) int { return compareString(a.ID, b.ID) })
	slices.SortFunc(v.Servers, func(a, b model.BackendServer) int { return compareString(a.ID, b.ID) })
	return v, true
}

// viewRecord returns the record as it appears in the view: a lost server is gone, and an orphaned
// one that was alive is suspect.
func (s *server) viewRecord() model.BackendServer {
	r := s.record
	if s.lost {
		r.State = model.Gone
	}
	if !s.orphanedAt.IsZero() && r.State == model.Alive {
		r.State = model.Suspect
	}
	return r
}

func compareString[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Take returns the messages to send, and the changes and the reasons for suspended expiry to log,
// since the last call. Changed records are sent to every connected instance.
func (m *Machine) Take() (sends []Send, changes []Change, holdReasons []string) {
	if len(m.broadcast.Instances)+len(m.broadcast.Servers) > 0 {
		m.outbox = append(m.outbox, Send{Body: m.broadcast})
		m.broadcast = Records{}
	}
	sends, changes, holdReasons = m.outbox, m.changes, m.holdReasons
	m.outbox, m.changes, m.holdReasons = nil, nil, nil
	return sends, changes, holdReasons
}

// Connected returns the ids of the instances with an open connection, sorted.
func (m *Machine) Connected() []model.InstanceID {
	var out []model.InstanceID
	for id, i := range m.instances {
		if i.connected {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Known returns the records of all other instances, to which connections should be kept.
func (m *Machine) Known() []model.Instance {
	out := make([]model.Instance, 0, len(m.instances))
	for _, i := range m.instances {
		out = append(out, i.record)
	}
	return out
}

// Superseded returns the highest later incarnation of this instance that others know, or zero.
func (m *Machine) Superseded() model.Incarnation { return m.superseded }
