package control

import (
	"time"

	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/declare"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// ownerDeadAfter is the time without a heartbeat after which the outcome of an instance's claims
// becomes unknown. It is twice the time after which an instance that receives nothing from the
// control group withdraws.
const ownerDeadAfter = 10 * time.Second

// confirmationsEvery is the number of heartbeats of an instance per reply that lists the
// confirmations. With 380 instances the list has 7 KB; in every reply it would cost an instance
// 30 KB/s.
const confirmationsEvery = 8

// trackedSessions implements Sessions with a session.Tracker.
type trackedSessions struct {
	options session.Options
	tracker *session.Tracker
	// leaseNames returns the lease names of a configuration. declaredLeases caches its result for the
	// configuration with the given revision.
	leaseNames     func(state.AcceptedConfig) []string
	declaredLeases []string
	revision       model.Revision
}

// NewSessions returns the leader's handling of heartbeats. It grants the leases that the
// configuration declares.
func NewSessions() Sessions { return newSessions(leaseNames) }

// NewSessionsWithoutLeases returns the leader's handling of heartbeats for configurations without
// leases.
func NewSessionsWithoutLeases() Sessions {
	return newSessions(func(state.AcceptedConfig) []string { return nil })
}

func newSessions(names func(state.AcceptedConfig) []string) Sessions {
	return &trackedSessions{leaseNames: names, options: session.Options{
		LeaseDuration: port.LeaseDuration, DriftPercent: port.MaxClockDrift, DeadAfter: ownerDeadAfter,
	}}
}

// Begin implements Sessions.
func (t *trackedSessions) Begin(now time.Time) { t.tracker = session.New(now, t.options) }

// Heartbeat implements Sessions.
func (t *trackedSessions) Heartbeat(now time.Time, h port.Heartbeat, m *state.Machine, voters []model.InstanceID) (port.HeartbeatReply, bool) {
	answer, ok := t.tracker.Handle(now, session.Heartbeat{
		Instance: h.Instance, Incarnation: h.Incarnation, Revision: h.Revision, Holds: h.Holds, Stopping: h.Stopping,
		Rollouts: h.Rollouts,
	}, t.sessionState(m, voters))
	if !ok {
		return port.HeartbeatReply{}, false
	}
	reply := port.HeartbeatReply{
		Seq: h.Seq, Config: answer.Config, Revision: answer.Revision, Leases: answer.Leases, Voters: answer.Voters,
		Rollouts: answer.Rollouts, RolloutsGeneration: answer.RolloutsGeneration, RolloutsConfirmed: answer.RolloutsConfirmed,
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
func (t *trackedSessions) Tick(now time.Time, m *state.Machine) []state.Command {
	return t.tracker.Tick(now, t.sessionState(m, nil))
}

func (t *trackedSessions) sessionState(m *state.Machine, voters []model.InstanceID) session.State {
	config := m.Config()
	if config.Revision != t.revision {
		t.revision = config.Revision
		t.declaredLeases = t.leaseNames(config)
	}
	return session.State{
		Leases: m.Leases(), Config: config, Owners: m.Owners(), Voters: voters, DeclaredLeases: t.declaredLeases,
		Rollouts: m.Rollouts, RolloutsGeneration: m.RolloutsGeneration(),
	}
}

// leaseNames returns the names of the leases that a configuration declares. The content was
// validated before it was proposed; one that cannot be parsed declares no leases.
func leaseNames(accepted state.AcceptedConfig) []string {
	c, err := declare.Parse(accepted.Content)
	if err != nil {
		return nil
	}
	return port.LeaseNames(c)
}
