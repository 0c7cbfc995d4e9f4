package session

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// maxInstances bounds the table of instances; the design size has 380.
const maxInstances = 4096

// proposeAgain is the time after which a command that has had no effect is proposed again.
const proposeAgain = time.Second

// Options holds the time limits. They are the same on all voters and instances.
type Options struct {
	// LeaseDuration is how long a lease lasts without renewal.
	LeaseDuration time.Duration
	// DriftPercent is the largest assumed difference between clock rates.
	DriftPercent int
	// DeadAfter is the silence after which an instance counts as dead. It exceeds the time
	// after which an instance that hears nothing from the control group withdraws.
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
	// Stopping means that the instance takes no new work and no lease.
	Stopping bool
}

// State is the part of the replicated state that the tracker reads. The leader passes it
// only after it has applied an entry of its own term, so that nothing committed is missing.
type State struct {
	Leases map[string]state.Lease
	Config state.AcceptedConfig
	// Owners lists the owners of held claims.
	Owners []state.Owner
	Voters []model.InstanceID
	// Declared lists the names of the leases that should have a holder.
	Declared []string
}

// Answer is the answer to a heartbeat.
type Answer struct {
	// Config is set if the instance's revision is older than Revision and the configuration is not
	// under way to it.
	Config   *state.AcceptedConfig
	Revision model.Revision
	// Leases lists all leases by name.
	Leases []state.Lease
	Voters []model.InstanceID
	// Confirmed lists the instances that may still take work. It is nil while the tracker is
	// too young to know them all, so an empty list never means that everyone has confirmed.
	Confirmed []Confirmation
}

// Confirmation is the revision that an instance has in force.
type Confirmation struct {
	Instance model.InstanceID
	Revision model.Revision
	Stopping bool
}

type instance struct {
	incarnation model.Incarnation
	heard       time.Time
	revision    model.Revision
	stopping    bool
	// sent is the newest revision that it was sent, at sentAt.
	sent   model.Revision
	sentAt time.Time
}

// renewal is the last time at which the holder of an epoch was told that it holds the lease.
type renewal struct {
	epoch model.Epoch
	at    time.Time
}

type proposal struct {
	epoch model.Epoch
	at    time.Time
}

// resendAfter is how long a configuration that was sent counts as under way. Heartbeats come four times
// a second, and a large configuration needs longer than that on the narrow links of a large fleet: sent
// with each answer, it filled the links and the leader's memory. Only a lost connection loses one.
const resendAfter = time.Second

// Tracker follows the instances for one term of a leader.
type Tracker struct {
	options   Options
	started   time.Time
	instances map[model.InstanceID]*instance
	renewed   map[string]renewal
	acquired  map[string]proposal
	declared  map[state.Owner]time.Time
}

// New returns a tracker for a term that begins now. The leader lease of the previous leader
// must have ended.
func New(now time.Time, options Options) *Tracker {
	return &Tracker{
		options: options, started: now,
		instances: make(map[model.InstanceID]*instance),
		renewed:   make(map[string]renewal),
		acquired:  make(map[string]proposal),
		declared:  make(map[state.Owner]time.Time),
	}
}

// Handle takes a heartbeat and returns its answer. It returns false, and the heartbeat gets
// no answer, if a newer incarnation of the instance is known or the table is full.
//
// The leader calls Handle, and sends the answer, only while its leader lease lasts: an answer
// prolongs leases, and the next leader waits only from the start of its own term (mutation
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
	i.heard, i.revision, i.stopping = now, h.Revision, h.Stopping
	t.renew(now, h, s)
	a := Answer{
		Revision: s.Config.Revision, Voters: s.Voters, Confirmed: t.confirmed(now),
		Leases: slices.SortedFunc(maps.Values(s.Leases), func(a, b state.Lease) int { return cmp.Compare(a.Name, b.Name) }),
	}
	if h.Revision < s.Config.Revision && (i.sent != s.Config.Revision || now.Sub(i.sentAt) >= resendAfter) {
		config := s.Config
		a.Config = &config
		i.sent, i.sentAt = config.Revision, now
	}
	return a, true
}

// renew notes that the sender is told about each lease it holds, listed in the heartbeat or
// not: the answer makes the sender act on all of them.
func (t *Tracker) renew(now time.Time, h Heartbeat, s State) {
	for name, l := range s.Leases {
		if l.Holder == h.Instance && l.Incarnation == h.Incarnation {
			t.renewed[name] = renewal{epoch: l.Epoch, at: now}
		}
	}
}

func (t *Tracker) confirmed(now time.Time) []Confirmation {
	if now.Sub(t.started) < t.options.DeadAfter {
		return nil
	}
	var out []Confirmation
	for id, i := range t.instances {
		if now.Sub(i.heard) < t.options.DeadAfter {
			out = append(out, Confirmation{Instance: id, Revision: i.revision, Stopping: i.stopping})
		}
	}
	slices.SortFunc(out, func(a, b Confirmation) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Tick returns the commands to propose.
func (t *Tracker) Tick(now time.Time, s State) []state.Command {
	commands := t.assign(now, s)
	commands = append(commands, t.declareDead(now, s)...)
	t.forget(now, s)
	return commands
}

// declareDead proposes OwnerDead for owners of held claims that are replaced or silent. It
// looks at the owners and not at events, so a lost proposal, or a claim that arrives after
// its owner was declared dead, is settled by a later tick.
func (t *Tracker) declareDead(now time.Time, s State) []state.Command {
	var commands []state.Command
	for _, o := range s.Owners {
		if !t.dead(now, o) {
			continue
		}
		if at, ok := t.declared[o]; ok && now.Sub(at) < proposeAgain {
			continue
		}
		t.declared[o] = now
		commands = append(commands, state.OwnerDead(o))
	}
	return commands
}

func (t *Tracker) dead(now time.Time, o state.Owner) bool {
	i, known := t.instances[o.Instance]
	switch {
	case !known || i.incarnation < o.Incarnation:
		return now.Sub(t.started) >= t.options.DeadAfter
	case i.incarnation > o.Incarnation:
		return true
	}
	return now.Sub(i.heard) >= t.options.DeadAfter
}

// forget drops instances, renewals and proposals that no longer decide anything.
func (t *Tracker) forget(now time.Time, s State) {
	maps.DeleteFunc(t.instances, func(_ model.InstanceID, i *instance) bool {
		return now.Sub(i.heard) >= 2*t.options.DeadAfter
	})
	maps.DeleteFunc(t.declared, func(_ state.Owner, at time.Time) bool { return now.Sub(at) >= proposeAgain })
	gone := func(name string) bool { _, ok := s.Leases[name]; return !ok }
	maps.DeleteFunc(t.renewed, func(name string, _ renewal) bool { return gone(name) })
	maps.DeleteFunc(t.acquired, func(_ string, p proposal) bool { return now.Sub(p.at) >= proposeAgain })
}
