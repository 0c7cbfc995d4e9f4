package control

import (
	"time"

	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/declare"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// ownerDeadAfter is the silence after which the claims of an instance become unknown. It is
// twice the time after which an instance that hears nothing from the control group withdraws.
const ownerDeadAfter = 10 * time.Second

// confirmationsEvery is the number of heartbeats of an instance for each answer that lists
// the confirmations. With 380 instances the list has 7 KB; in every answer it would cost an
// instance 30 KB/s.
const confirmationsEvery = 8

// tracked answers heartbeats with the decisions of a session.Tracker.
type tracked struct {
	options session.Options
	tracker *session.Tracker
	// names returns the lease names of a configuration, and declared holds those of the one with the
	// given revision.
	names    func(state.AcceptedConfig) []string
	declared []string
	revision model.Revision
}

// NewSessions returns the leader's handling of heartbeats, with the leases of the configuration.
func NewSessions() Sessions { return newSessions(leaseNames) }

// NewPlainSessions returns the leader's handling of heartbeats for configurations without leases.
func NewPlainSessions() Sessions {
	return newSessions(func(state.AcceptedConfig) []string { return nil })
}

func newSessions(names func(state.AcceptedConfig) []string) Sessions {
	return &tracked{names: names, options: session.Options{
		LeaseDuration: port.LeaseDuration, DriftPercent: port.MaxClockDrift, DeadAfter: ownerDeadAfter,
	}}
}

// Begin implements Sessions.
func (t *tracked) Begin(now time.Time) { t.tracker = session.New(now, t.options) }

// Heartbeat implements Sessions.
func (t *tracked) Heartbeat(now time.Time, h port.Heartbeat, m *state.Machine, voters []model.InstanceID) (port.HeartbeatReply, bool) {
	answer, ok := t.tracker.Handle(now, session.Heartbeat{
		Instance: h.Instance, Incarnation: h.Incarnation, Revision: h.Revision, Holds: h.Holds, Stopping: h.Stopping,
	}, t.state(m, voters))
	if !ok {
		return port.HeartbeatReply{}, false
	}
	reply := port.HeartbeatReply{
		Seq: h.Seq, Config: answer.Config, Revision: answer.Revision, Leases: answer.Leases, Voters: answer.Voters,
	}
	if h.Seq%confirmationsEvery != 0 {
		return reply, true
	}
	for _, c := range answer.Confirmed {
		reply.Confirmed = append(reply.Confirmed, port.Confirmation{Instance: c.Instance, Revision: c.Revision, Stopping: c.Stopping})
	}
	return reply, true
}

// Tick implements Sessions.
func (t *tracked) Tick(now time.Time, m *state.Machine) []state.Command {
	return t.tracker.Tick(now, t.state(m, nil))
}

func (t *tracked) state(m *state.Machine, voters []model.InstanceID) session.State {
	config := m.Config()
	if config.Revision != t.revision {
		t.revision = config.Revision
		t.declared = t.names(config)
	}
	return session.State{
		Leases: m.Leases(), Config: config, Owners: m.Owners(), Voters: voters, Declared: t.declared,
	}
}

// leaseNames returns the names of the leases that a configuration declares. The
// content was checked before it was proposed; one that cannot be read declares no pool.
func leaseNames(accepted state.AcceptedConfig) []string {
	c, err := declare.Parse(accepted.Content)
	if err != nil {
		return nil
	}
	return port.LeaseNames(c)
}
