package controlcall

import (
	"slices"
	"time"

	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// TickInterval is the interval at which the service calls Machine.Tick. A lease expires here this
// much earlier, so that it is never published as held after its time.
const TickInterval = 25 * time.Millisecond

// QuietTickInterval is the tick interval while Machine.Quiet holds: one heartbeat interval with a
// lease, and half of one without.
const QuietTickInterval = 125 * time.Millisecond

const (
	// commandTimeout is the time after which an unanswered command fails. A keyed request is then
	// answered may_have_run.
	commandTimeout = 2 * time.Second
	// awaitTimeout is how long the leader may delay the answer to an Await.
	awaitTimeout = 10 * time.Second
	// resendAfter is the time after which a command is resent, in case it was lost between two
	// voters. An Await is resent less often because it usually has no answer yet.
	resendAfter      = 250 * time.Millisecond
	resendAwaitAfter = time.Second
	// defaultTargetTimeout is two heartbeat intervals, so that one lost answer does not make the
	// machine switch to another voter.
	defaultTargetTimeout = 500 * time.Millisecond
	// suspectDuration is how long the machine avoids a voter that did not answer, although other
	// voters may still name it as leader: they detect its failure only after the election timeout
	// of up to 1 s.
	suspectDuration = time.Second
	// redirectInterval limits how often leader hints can move all commands to another voter. Two
	// voters that name each other during an election would otherwise cause a message storm.
	redirectInterval = 100 * time.Millisecond
	// contactsInterval is the time without an answer of the leader after which the machine asks for the
	// contacts of the settings, and asks again. An election takes up to 2 s.
	contactsInterval = 3 * time.Second
	// maxVoters bounds the instances that are asked.
	maxVoters = 64
)

// Options are fixed for the life of a Machine.
type Options struct {
	Self        model.InstanceID
	Incarnation model.Incarnation
	// Voters lists the instances to ask until the leader lists the current voters.
	Voters            []model.InstanceID
	HeartbeatInterval time.Duration
	// HolderInterval applies instead while a lease is held here.
	HolderInterval time.Duration
	// Lease holds the lease time limits, which are the same at the leader.
	Lease session.Options
	// ConfirmWithin is the time without confirmation after which the instance withdraws.
	ConfirmWithin time.Duration
	// FirstNumber is the number before those of the first command and of the first heartbeat. It is drawn at
	// random for each process: an answer names its command or heartbeat by the number alone, and the leader may
	// still answer an earlier process of the instance.
	FirstNumber uint64
	// TargetTimeout is how long a voter may fail to answer before the machine switches to another
	// one; zero means defaultTargetTimeout.
	TargetTimeout time.Duration
}

// pendingCommand is a command until it is answered or times out.
type pendingCommand struct {
	id       uint64
	command  state.Command
	deadline time.Time
	sentTo   model.InstanceID
	sentAt   time.Time
	// release marks the machine's own ReleaseLease commands, which emit no Answer.
	release bool
	done    bool
}

// Machine is the control group client of one instance.
type Machine struct {
	options Options
	effects []Effect
	// commands lists the commands in the order of their start. Those that are done are removed on
	// the next tick.
	commands []*pendingCommand
	byID     map[uint64]*pendingCommand
	nextID   uint64

	voters []model.InstanceID
	// target is the voter that commands and heartbeats are sent to; leader is set if it is known to
	// be the leader. leaderHint is a redirect that waits for redirectInterval.
	target      model.InstanceID
	leader      bool
	targetSince time.Time
	lastAnswer  time.Time
	lastSwitch  time.Time
	leaderHint  model.InstanceID
	// contactsAt is when the leader last answered or contacts were last asked for.
	contactsAt time.Time
	// suspect is the last target that did not answer. It is avoided until suspectUntil.
	suspect      model.InstanceID
	suspectUntil time.Time

	heartbeat heartbeatState
}

// New returns a machine whose first target is the first voter.
func New(now time.Time, options Options) *Machine {
	m := &Machine{
		options: options, byID: make(map[uint64]*pendingCommand), nextID: options.FirstNumber, voters: slices.Clone(options.Voters),
		heartbeat: newHeartbeatState(now, options.FirstNumber),
	}
	if len(m.voters) > 0 {
		m.target = m.voters[0]
	}
	m.targetSince, m.contactsAt = now, now
	if m.options.TargetTimeout == 0 {
		m.options.TargetTimeout = defaultTargetTimeout
	}
	m.emit(PublishConfirmed{OK: false})
	return m
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) takeEffects() []Effect {
	e := m.effects
	m.effects = nil
	return e
}

// Do starts a command and returns its id, which the Answer repeats.
func (m *Machine) Do(now time.Time, c state.Command) (uint64, []Effect) {
	id := m.start(now, c, false)
	return id, m.takeEffects()
}

func (m *Machine) start(now time.Time, c state.Command, release bool) uint64 {
	timeout := commandTimeout
	if _, ok := c.(state.Await); ok {
		timeout += awaitTimeout
	}
	m.nextID++
	p := &pendingCommand{id: m.nextID, command: c, deadline: now.Add(timeout), release: release}
	m.commands = append(m.commands, p)
	m.byID[p.id] = p
	m.send(now, p)
	return p.id
}

func (m *Machine) send(now time.Time, c *pendingCommand) {
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

// HandleReply handles the answer to a command. The second and later answers are ignored, and so are those to
// commands of an earlier process.
func (m *Machine) HandleReply(now time.Time, from model.InstanceID, r Reply) []Effect {
	if r.NotLeader {
		m.redirect(now, from, r.Leader)
		return m.takeEffects()
	}
	m.leaderAnswered(now, from)
	if c, ok := m.byID[r.ID]; ok {
		m.finish(c, Answer{ID: r.ID, Result: r.Result})
		if c.release {
			m.sendHeartbeat(now)
		}
	} else if !m.issued(r.ID) {
		m.emit(ForeignReply{From: from, ID: r.ID})
	}
	return m.takeEffects()
}

// issued reports whether a command of this process has the number.
func (m *Machine) issued(id uint64) bool { return id > m.options.FirstNumber && id <= m.nextID }

// finish ends a command with its answer.
func (m *Machine) finish(c *pendingCommand, a Answer) {
	delete(m.byID, c.id)
	c.done = true
	if !c.release {
		m.emit(a)
	}
}

// Tick switches away from a voter that does not answer, times out and resends commands, sends
// heartbeats and expires leases.
func (m *Machine) Tick(now time.Time) []Effect {
	if m.leaderHint != "" && now.Sub(m.lastSwitch) >= redirectInterval {
		m.switchTarget(now, m.leaderHint)
	}
	if timeout := m.options.TargetTimeout; now.Sub(m.lastAnswer) >= timeout && now.Sub(m.targetSince) >= timeout {
		m.suspect, m.suspectUntil = m.target, now.Add(suspectDuration)
		m.switchTarget(now, m.nextVoter(now))
	}
	for _, c := range m.commands {
		if !c.done && !now.Before(c.deadline) {
			m.finish(c, Answer{ID: c.id, Err: unavailable(c.command)})
		}
	}
	m.commands = slices.DeleteFunc(m.commands, func(c *pendingCommand) bool { return c.done })
	if now.Sub(m.contactsAt) >= contactsInterval {
		m.contactsAt = now
		m.emit(ReadContacts{})
	}
	m.resend(now)
	m.tickHeartbeat(now)
	return m.takeEffects()
}

// AddVoters adds instances to those that are asked in turn until the leader answers and lists the
// voters.
func (m *Machine) AddVoters(voters []model.InstanceID) {
	for _, id := range voters {
		if len(m.voters) < maxVoters && !slices.Contains(m.voters, id) {
			m.voters = append(m.voters, id)
		}
	}
	if m.target == "" && len(m.voters) > 0 {
		m.target = m.voters[0]
	}
}

// Close ends every pending command and a pending release with an error.
func (m *Machine) Close() []Effect {
	for _, c := range m.commands {
		if !c.done {
			m.finish(c, Answer{ID: c.id, Err: unavailable(c.command)})
		}
	}
	m.finishRelease(&fault.ControlUnavailable{Operation: "ReleaseLease"})
	return m.takeEffects()
}

func unavailable(c state.Command) error {
	return &fault.ControlUnavailable{Operation: state.Name(c)}
}

// resend sends again the commands that are due, and those that were last sent to another target.
func (m *Machine) resend(now time.Time) {
	for _, c := range m.commands {
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

// redirect handles an answer by a voter that is not the leader. Only the target's answer counts,
// so that a late one does not move the machine away from a leader that it has found since.
func (m *Machine) redirect(now time.Time, from, leader model.InstanceID) {
	if from != m.target {
		return
	}
	m.setLeader(false)
	if leader == "" || leader == from || m.suspected(now, leader) {
		leader = m.nextVoter(now)
	}
	if now.Sub(m.lastSwitch) < redirectInterval {
		m.leaderHint = leader
		return
	}
	m.switchTarget(now, leader)
}

// switchTarget makes another voter the target and resends all pending commands to it.
func (m *Machine) switchTarget(now time.Time, to model.InstanceID) {
	m.leaderHint, m.lastSwitch, m.targetSince = "", now, now
	if to == m.target {
		return
	}
	m.setLeader(false)
	m.target = to
	m.resend(now)
	m.sendHeartbeat(now)
}

// leaderAnswered records that the target has answered as the leader.
func (m *Machine) leaderAnswered(now time.Time, from model.InstanceID) {
	if from == m.target {
		m.lastAnswer, m.contactsAt, m.leaderHint = now, now, ""
		m.setLeader(true)
	}
}

// setLeader records whether the target is known to be the leader.
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

// suspected reports whether a voter is to be avoided at now.
func (m *Machine) suspected(now time.Time, id model.InstanceID) bool {
	return id == m.suspect && now.Before(m.suspectUntil)
}

// nextVoter returns the first voter after the target that is not suspected.
func (m *Machine) nextVoter(now time.Time) model.InstanceID {
	at := slices.Index(m.voters, m.target)
	for i := range m.voters {
		if id := m.voters[(at+1+i)%len(m.voters)]; !m.suspected(now, id) {
			return id
		}
	}
	return m.target
}
