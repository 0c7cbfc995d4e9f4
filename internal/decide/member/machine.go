package member

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// Limits of silence and of memory.
const (
	// SuspectAfter is three heartbeats; a suspect member gets no new work.
	SuspectAfter = 1500 * time.Millisecond
	// GoneAfter removes a member.
	GoneAfter = 3 * time.Second
	// HoldFor is how long nothing expires after the observer was paused or cut off.
	HoldFor = 3 * time.Second
	// PauseGap is the gap between two ticks that counts as a pause of the observer.
	PauseGap = time.Second
	// Remember is how long a gone incarnation is remembered, so that a late message does
	// not bring it back.
	Remember = 10 * time.Minute
	// SettleAfter ends the wait for another instance's view when none can be reached.
	SettleAfter = 5 * time.Second
	// DigestEvery is the interval of digests, each to the next connected peer.
	DigestEvery = time.Second
)

// instance is what is known of another instance.
type instance struct {
	record model.Instance
	// up tells whether a connection is open; heard is when data last arrived on it.
	up     bool
	silent bool
	heard  time.Time
	// judged is this observer's own judgement: alive, suspect or gone.
	judged model.MemberState
	goneAt time.Time
}

// server is what is known of a backend server.
type server struct {
	record model.BackendServer
	// heard is the last heartbeat if this instance is the home.
	heard time.Time
	// orphaned is when the home was found to be gone; zero while it is not.
	orphaned time.Time
	// lost means that no instance adopted the server in time.
	lost   bool
	goneAt time.Time
}

// Machine keeps the membership as one instance sees it.
type Machine struct {
	self      model.Instance
	instances map[model.InstanceID]*instance
	servers   map[model.BackendServerID]*server
	began     time.Time
	lastTick  time.Time
	holdUntil time.Time
	cutOff    bool
	// isolated means that the last connection to another instance has ended.
	isolated   bool
	settled    bool
	digestAt   time.Time
	digestTo   int
	superseded model.Incarnation

	version uint64
	changed bool
	flood   Records
	sends   []Send
	changes []Change
	held    []string
}

// New returns the machine of an instance. Alone means that there are no others to ask.
func New(now time.Time, self model.Instance, alone bool) *Machine {
	return &Machine{
		self: self, began: now, lastTick: now, digestAt: now, settled: alone, changed: true,
		instances: make(map[model.InstanceID]*instance),
		servers:   make(map[model.BackendServerID]*server),
	}
}

// Self returns this instance's own record.
func (m *Machine) Self() model.Instance { return m.self }

// SetSelf changes this instance's own record. Leaving is final.
func (m *Machine) SetSelf(state model.MemberState, withdrawn bool) {
	if finality(state) >= finality(m.self.State) {
		m.self.State = state
	}
	m.self.Withdrawn = withdrawn
	m.touchSelf()
}

func (m *Machine) touchSelf() {
	m.self.Sequence++
	m.flood.Instances = append(m.flood.Instances, m.self)
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
		if i.judged == model.Gone || r.State == model.Alive {
			r.State = i.judged
		}
		v.Instances = append(v.Instances, r)
	}
	for _, s := range m.servers {
		v.Servers = append(v.Servers, s.seen())
	}
	slices.SortFunc(v.Instances, func(a, b model.Instance) int { return compareString(a.ID, b.ID) })
	slices.SortFunc(v.Servers, func(a, b model.BackendServer) int { return compareString(a.ID, b.ID) })
	return v, true
}

// seen returns the record as it appears in the view. A server whose home is gone should
// have found another one by then.
func (s *server) seen() model.BackendServer {
	r := s.record
	if s.lost {
		r.State = model.Gone
	}
	if !s.orphaned.IsZero() && r.State == model.Alive {
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

// Take returns the messages to send and the changes to log since the last call. Changed
// records go to every connected instance.
func (m *Machine) Take() (sends []Send, changes []Change, held []string) {
	if len(m.flood.Instances)+len(m.flood.Servers) > 0 {
		m.sends = append(m.sends, Send{Body: m.flood})
		m.flood = Records{}
	}
	sends, changes, held = m.sends, m.changes, m.held
	m.sends, m.changes, m.held = nil, nil, nil
	return sends, changes, held
}

// Connected returns the instances with an open connection, by id.
func (m *Machine) Connected() []model.InstanceID {
	var out []model.InstanceID
	for id, i := range m.instances {
		if i.up {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Known returns every instance to keep a connection to.
func (m *Machine) Known() []model.Instance {
	out := make([]model.Instance, 0, len(m.instances))
	for _, i := range m.instances {
		out = append(out, i.record)
	}
	return out
}

// Superseded returns a later incarnation of this instance that others know, or zero.
func (m *Machine) Superseded() model.Incarnation { return m.superseded }
