package session

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// maxInstances bounds the table of instances; the system is designed for 380.
const maxInstances = 4096

// proposalRetryInterval is the time after which a command that has had no effect is proposed
// again.
const proposalRetryInterval = time.Second

// Options holds the time limits. They are the same on all voters and instances.
type Options struct {
	// LeaseDuration is how long a lease lasts without renewal.
	LeaseDuration time.Duration
	// DriftPercent is the largest assumed difference between clock rates.
	DriftPercent int
	// DeadAfter is the time without a heartbeat after which an instance counts as dead. It
	// exceeds the time after which an instance without answers from the control group withdraws.
	DeadAfter time.Duration
}

// Heartbeat is what an instance reports about itself.
type Heartbeat struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// Revision is the configuration in force at the instance.
	Revision model.Revision
	// Holds lists the leases that the instance acts on.
	Holds []state.Lease
	// Stopping means that the instance accepts no new work and no lease.
	Stopping bool
	// Rollouts is the generation of the roll-outs that the instance applies.
	Rollouts uint64
}

// State is the part of the replicated state that the tracker reads. The leader passes it
// only after it has applied an entry of its own term, so that nothing committed is missing.
type State struct {
	Leases map[string]state.Lease
	Config state.AcceptedConfig
	// Owners lists the owners of held claims.
	Owners []state.Owner
	Voters []model.InstanceID
	// DeclaredLeases lists the names of the leases that should have a holder.
	DeclaredLeases []string
	// Rollouts returns the last roll-outs of all services; RolloutsGeneration is that of the latest change.
	Rollouts           func() []model.Rollout
	RolloutsGeneration uint64
}

// Answer is the answer to a heartbeat.
type Answer struct {
	// Config is set if the instance's revision is older than Revision and the configuration is not
	// already in transit to it.
	Config   *state.AcceptedConfig
	Revision model.Revision
	// Leases lists all leases by name.
	Leases []state.Lease
	Voters []model.InstanceID
	// Confirmed lists the instances that may still accept work. It is nil until the tracker has run
	// long enough to know them all, so that an empty list never means that all have confirmed.
	Confirmed []Confirmation
	// Rollouts is set if the instance does not apply RolloutsGeneration. RolloutsConfirmed is the generation
	// that all connected instances apply, or zero if it is unknown.
	Rollouts                              []model.Rollout
	RolloutsGeneration, RolloutsConfirmed uint64
}

// Confirmation is the revision that an instance has in force.
type Confirmation struct {
	Instance model.InstanceID
	Revision model.Revision
	Stopping bool
}

// instance is what the tracker knows about an instance from its heartbeats.
type instance struct {
	incarnation   model.Incarnation
	lastHeartbeat time.Time
	revision      model.Revision
	stopping      bool
	rollouts      uint64
	// sentRevision is the newest revision that was sent to the instance, at sentAt.
	sentRevision model.Revision
	sentAt       time.Time
}

// renewal is the last time at which the holder of an epoch was told that it holds the lease.
type renewal struct {
	epoch model.Epoch
	at    time.Time
}

// proposal is the lease epoch and the time of the last AcquireLease that was proposed.
type proposal struct {
	epoch model.Epoch
	at    time.Time
}

// configResendInterval is how long a configuration that was sent counts as in transit. Heartbeats
// arrive four times a second, and a large configuration needs longer than that on the slow links of
// a large fleet: sent with each answer, it filled the links and the leader's memory. Only a lost
// connection loses one.
const configResendInterval = time.Second

// Tracker tracks the instances and their leases for one term of a leader.
type Tracker struct {
	options         Options
	started         time.Time
	instances       map[model.InstanceID]*instance
	renewed         map[string]renewal
	acquireProposed map[string]proposal
	deadProposed    map[state.Owner]time.Time
}

// New returns a tracker for a term that begins now. The leader lease of the previous leader
// must have ended.
func New(now time.Time, options Options) *Tracker {
	return &Tracker{
		options: options, started: now,
		instances:       make(map[model.InstanceID]*instance),
		renewed:         make(map[string]renewal),
		acquireProposed: make(map[string]proposal),
		deadProposed:    make(map[state.Owner]time.Time),
	}
}

// Handle processes a heartbeat and returns its answer. It returns false, and the heartbeat gets
// no answer, if a newer incarnation of the instance is known or the table is full.
//
// The leader calls Handle, and sends the answer, only while its leader lease is valid: an answer
// renews leases, and the next leader waits only from the start of its own term (mutation
// DEPOSED_ANSWERS in spec/lease.pml).
func (t *Tracker) Handle(now time.Time, h Heartbeat, s State) (Answer, bool) {
	i, known := t.instances[h.Instance]
	switch {
	case known && h.Incarnation < i.incarnation:
		return Answer{}, false
	case !known && len(t.instances) >= maxInstances:
		return Answer{}, false
	case !known:
		i = &instance{}
		t.instances[h.Instance] = i
	}
	if h.Incarnation != i.incarnation {
		*i = instance{incarnation: h.Incarnation}
	}
	i.lastHeartbeat, i.revision, i.stopping = now, h.Revision, h.Stopping
	i.rollouts = h.Rollouts
	t.renew(now, h, s)
	a := Answer{
		Revision: s.Config.Revision, Voters: s.Voters, Confirmed: t.confirmations(now),
		Leases: slices.SortedFunc(maps.Values(s.Leases), func(a, b state.Lease) int { return cmp.Compare(a.Name, b.Name) }),
	}
	t.addRollouts(now, h, s, &a)
	if h.Revision < s.Config.Revision && (i.sentRevision != s.Config.Revision || now.Sub(i.sentAt) >= configResendInterval) {
		config := s.Config
		a.Config = &config
		i.sentRevision, i.sentAt = config.Revision, now
	}
	return a, true
}

// renew renews each lease that the sender holds, listed in the heartbeat or not: the answer
// lists all of them, and the sender acts on them.
func (t *Tracker) renew(now time.Time, h Heartbeat, s State) {
	for name, l := range s.Leases {
		if l.Holder == h.Instance && l.Incarnation == h.Incarnation {
			t.renewed[name] = renewal{epoch: l.Epoch, at: now}
		}
	}
}

// confirmations lists the live instances, or returns nil until the tracker can know them all.
func (t *Tracker) confirmations(now time.Time) []Confirmation {
	if now.Sub(t.started) < t.options.DeadAfter {
		return nil
	}
	var out []Confirmation
	for id, i := range t.instances {
		if now.Sub(i.lastHeartbeat) < t.options.DeadAfter {
			out = append(out, Confirmation{Instance: id, Revision: i.revision, Stopping: i.stopping})
		}
	}
	slices.SortFunc(out, func(a, b Confirmation) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Tick returns the commands to propose.
func (t *Tracker) Tick(now time.Time, s State) []state.Command {
	commands := t.assignLeases(now, s)
	commands = append(commands, t.declareDead(now, s)...)
	t.prune(now, s)
	return commands
}

// declareDead proposes OwnerDead for owners of held claims that are replaced or send no
// heartbeats. It checks the owners and does not depend on events, so a later tick handles a lost
// proposal, or a claim that arrives after its owner was declared dead.
func (t *Tracker) declareDead(now time.Time, s State) []state.Command {
	var commands []state.Command
	for _, o := range s.Owners {
		if !t.isDead(now, o) {
			continue
		}
		if at, ok := t.deadProposed[o]; ok && now.Sub(at) < proposalRetryInterval {
			continue
		}
		t.deadProposed[o] = now
		commands = append(commands, state.OwnerDead(o))
	}
	return commands
}

// isDead reports whether the owner of a claim has been replaced by a newer incarnation or has sent
// no heartbeat for DeadAfter.
func (t *Tracker) isDead(now time.Time, o state.Owner) bool {
	i, known := t.instances[o.Instance]
	switch {
	case !known || i.incarnation < o.Incarnation:
		return now.Sub(t.started) >= t.options.DeadAfter
	case i.incarnation > o.Incarnation:
		return true
	}
	return now.Sub(i.lastHeartbeat) >= t.options.DeadAfter
}

// prune removes instances, renewals and proposals that no longer affect any decision.
func (t *Tracker) prune(now time.Time, s State) {
	maps.DeleteFunc(t.instances, func(_ model.InstanceID, i *instance) bool {
		return now.Sub(i.lastHeartbeat) >= 2*t.options.DeadAfter
	})
	maps.DeleteFunc(t.deadProposed, func(_ state.Owner, at time.Time) bool { return now.Sub(at) >= proposalRetryInterval })
	gone := func(name string) bool { _, ok := s.Leases[name]; return !ok }
	maps.DeleteFunc(t.renewed, func(name string, _ renewal) bool { return gone(name) })
	maps.DeleteFunc(t.acquireProposed, func(_ string, p proposal) bool { return now.Sub(p.at) >= proposalRetryInterval })
}
