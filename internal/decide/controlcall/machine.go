package controlcall

import (
	"slices"
	"time"

	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Tick is the interval at which the service calls Machine.Tick. A lease ends this much
// early, so that it is never published after its time.
const Tick = 25 * time.Millisecond

// QuietTick is the interval while the machine is quiet: a heartbeat interval with a lease, and
// half of one without.
const QuietTick = 125 * time.Millisecond

const (
	// commandTimeout is the time after which a keyed request is answered may_have_run.
	commandTimeout = 2 * time.Second
	// awaitTimeout is how long the leader may hold an Await back.
	awaitTimeout = 10 * time.Second
	// resendAfter covers a command that was lost between two voters. An Await is resent
	// less often because it usually has no answer yet.
	resendAfter      = 250 * time.Millisecond
	resendAwaitAfter = time.Second
	// targetSilent is two heartbeat intervals: one lost answer does not change the leader.
	targetSilent = 500 * time.Millisecond
	// suspectFor keeps the machine from a silent leader that other voters still name: they
	// notice its death only after the election timeout of up to 1 s.
	suspectFor = time.Second
	// followInterval limits how often hints can move all commands to another voter. Two
	// voters that name each other during an election would otherwise cause a storm.
	followInterval = 100 * time.Millisecond
)

// Options are fixed for the life of a Machine.
type Options struct {
	Self        model.InstanceID
	Incarnation model.Incarnation
	// Voters lists the instances to ask before the first answer names the current ones.
	Voters            []model.InstanceID
	HeartbeatInterval time.Duration
	// HolderInterval applies instead while a lease is held here.
	HolderInterval time.Duration
	// Lease holds the time limits that the leader also has.
	Lease session.Options
	// ConfirmWithin is the time without confirmation after which the instance withdraws.
	ConfirmWithin time.Duration
	// TargetSilent is how long a voter may be silent before another one is asked; zero means
	// targetSilent.
	TargetSilent time.Duration
}

type call struct {
	id       uint64
	command  state.Command
	deadline time.Time
	sentTo   model.InstanceID
	sentAt   time.Time
	// release marks the machine's own commands, which nobody waits for.
	release bool
	done    bool
}

// Machine talks to the control group for one instance.
type Machine struct {
	options Options
	effects []Effect
	// calls lists the commands in the order of their start. Those that are done leave it on
	// the next tick.
	calls  []*call
	byID   map[uint64]*call
	nextID uint64

	voters []model.InstanceID
	// target is whom commands go to; it is the leader if leader is set.
	target      model.InstanceID
	leader      bool
	targetSince time.Time
	heard       time.Time
	followed    time.Time
	hint        model.InstanceID
	// suspect was silent as target until suspectUntil.
	suspect      model.InstanceID
	suspectUntil time.Time

	beats beats
}

// New returns a machine that asks the first voter first.
func New(now time.Time, options Options) *Machine {
	m := &Machine{
		options: options, byID: make(map[uint64]*call), voters: slices.Clone(options.Voters),
		beats: newBeats(now),
	}
	if len(m.voters) > 0 {
		m.target = m.voters[0]
	}
	m.targetSince = now
	if m.options.TargetSilent == 0 {
		m.options.TargetSilent = targetSilent
	}
	m.emit(PublishConfirmed{OK: false})
	return m
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) take() []Effect {
	e := m.effects
	m.effects = nil
	return e
}

// Do starts a command and returns its id, which its Answer has.
func (m *Machine) Do(now time.Time, c state.Command) (uint64, []Effect) {
	id := m.start(now, c, false)
	return id, m.take()
}

func (m *Machine) start(now time.Time, c state.Command, release bool) uint64 {
	timeout := commandTimeout
	if _, ok := c.(state.Await); ok {
		timeout += awaitTimeout
	}
	m.nextID++
	p := &call{id: m.nextID, command: c, deadline: now.Add(timeout), release: release}
	m.calls = append(m.calls, p)
	m.byID[p.id] = p
	m.send(now, p)
	return p.id
}

func (m *Machine) send(now time.Time, c *call) {
	c.sentTo, c.sentAt = m.target, now
	if m.target != "" {
		m.emit(SendCommand{To: m.target, ID: c.id, Command: c.command})
	}
}

// Reply is a voter's answer to a command.
type Reply struct {
	ID        uint64
	Result    state.Result
	NotLeader bool
	Leader    model.InstanceID
}

// Replied takes an answer to a command. The second and later answers change nothing.
func (m *Machine) Replied(now time.Time, from model.InstanceID, r Reply) []Effect {
	if r.NotLeader {
		m.redirect(now, from, r.Leader)
		return m.take()
	}
	m.obeyed(now, from)
	if c, ok := m.byID[r.ID]; ok {
		m.end(c, Answer{ID: r.ID, Result: r.Result})
		if c.release {
			m.beat(now)
		}
	}
	return m.take()
}

func (m *Machine) end(c *call, a Answer) {
	delete(m.byID, c.id)
	c.done = true
	if !c.release {
		m.emit(a)
	}
}

// Tick resends, times out, sends heartbeats and ends leases.
func (m *Machine) Tick(now time.Time) []Effect {
	if m.hint != "" && now.Sub(m.followed) >= followInterval {
		m.follow(now, m.hint)
	}
	if silent := m.options.TargetSilent; now.Sub(m.heard) >= silent && now.Sub(m.targetSince) >= silent {
		m.suspect, m.suspectUntil = m.target, now.Add(suspectFor)
		m.follow(now, m.nextVoter(now))
	}
	for _, c := range m.calls {
		if !c.done && !now.Before(c.deadline) {
			m.end(c, Answer{ID: c.id, Err: unavailable(c.command)})
		}
	}
	m.calls = slices.DeleteFunc(m.calls, func(c *call) bool { return c.done })
	m.resend(now)
	m.tickBeats(now)
	return m.take()
}

// Close ends every command that waits.
func (m *Machine) Close() []Effect {
	for _, c := range m.calls {
		if !c.done {
			m.end(c, Answer{ID: c.id, Err: unavailable(c.command)})
		}
	}
	m.released(&fault.ControlUnavailable{Operation: "ReleaseLease"})
	return m.take()
}

func unavailable(c state.Command) error {
	return &fault.ControlUnavailable{Operation: state.Name(c)}
}

func (m *Machine) resend(now time.Time) {
	for _, c := range m.calls {
		if c.done {
			continue
		}
		after := resendAfter
		if _, ok := c.command.(state.Await); ok {
			after = resendAwaitAfter
		}
		if c.sentTo != m.target || now.Sub(c.sentAt) >= after {
			m.send(now, c)
		}
	}
}

// redirect handles a voter that is not the leader. Only the target's word counts, so that a
// late answer does not turn the machine away from a leader that it has found since.
func (m *Machine) redirect(now time.Time, from, leader model.InstanceID) {
	if from != m.target {
		return
	}
	m.setLeader(false)
	if leader == "" || leader == from || m.suspected(now, leader) {
		leader = m.nextVoter(now)
	}
	if now.Sub(m.followed) < followInterval {
		m.hint = leader
		return
	}
	m.follow(now, leader)
}

// follow sends everything that waits to another voter.
func (m *Machine) follow(now time.Time, to model.InstanceID) {
	m.hint, m.followed, m.targetSince = "", now, now
	if to == m.target {
		return
	}
	m.setLeader(false)
	m.target = to
	m.resend(now)
	m.beat(now)
}

// obeyed notes an answer by the leader.
func (m *Machine) obeyed(now time.Time, from model.InstanceID) {
	if from == m.target {
		m.heard, m.hint = now, ""
		m.setLeader(true)
	}
}

// setLeader states whether the target is known to be the leader.
func (m *Machine) setLeader(leader bool) {
	if m.leader == leader {
		return
	}
	m.leader = leader
	if leader {
		m.emit(LeaderChanged{Leader: m.target})
	} else {
		m.emit(LeaderChanged{})
	}
}

func (m *Machine) suspected(now time.Time, id model.InstanceID) bool {
	return id == m.suspect && now.Before(m.suspectUntil)
}

// nextVoter returns the voter after the target that is not suspect.
func (m *Machine) nextVoter(now time.Time) model.InstanceID {
	at := slices.Index(m.voters, m.target)
	for i := range m.voters {
		if id := m.voters[(at+1+i)%len(m.voters)]; !m.suspected(now, id) {
			return id
		}
	}
	return m.target
}
