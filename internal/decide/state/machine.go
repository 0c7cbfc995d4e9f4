package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"briaryard/internal/model"
)

// Limits bounds the memory of a Machine.
type Limits struct {
	// Claims is the maximum number of claims. A team with at least as many claims as there are
	// free places gets no new one.
	Claims int
	// AnswerBytes is the size of the largest answer that is retained.
	AnswerBytes int
	// TotalAnswerBytes bounds the total size of retained answers; the oldest are evicted first.
	TotalAnswerBytes int
	// Retention is how long a finished claim is retained.
	Retention time.Duration
	// BarrierRetention should exceed the longest time that an attempt can wait: an attempt
	// that began before a removed barrier is refused even if its own key was never refused.
	BarrierRetention time.Duration
	// Barriers is the maximum number of barriers; the oldest are evicted first.
	Barriers int
	// Changes is the number of past configuration changes whose ids are retained.
	Changes int
	// Leases is the maximum number of lease names. Names are never removed, since the epoch of a
	// removed lease could be issued again.
	Leases int
}

// DefaultLimits returns the limits of a control group. They keep a voter below the 256 MB that
// one node may use for control. At the limits, a claim takes about 0.21 KB (record 144 bytes, key
// and slot, owner or answer header; the names of teams are shared), a barrier 0.15 KB, and each
// claim about 0.1 KB in an encoded snapshot, of which there are two while one replaces the other:
//
//	state      80,000 claims 17 MB + answers 6 MB + 20,000 barriers 3 MB = 26 MB
//	snapshots  2 * (80,000 claims 8 MB + answers 6 MB + barriers 1 MB)   = 30 MB
//	rest       entries of the log and messages, about 45 MB under load
//
// The garbage collector lets the heap grow to twice what is in use. BenchmarkSnapshotAtLimits of
// the control service peaks at 208 MB, including the start.
func DefaultLimits() Limits {
	return Limits{
		Claims:           80_000,
		AnswerBytes:      256 << 10,
		TotalAnswerBytes: 6 << 20,
		Retention:        24 * time.Hour,
		BarrierRetention: time.Hour,
		Barriers:         20_000,
		Changes:          10_000,
		Leases:           4096,
	}
}

// Machine is the replicated state machine of the control group: claims, configurations and
// leases.
type Machine struct {
	limits  Limits
	applied uint64
	// now is the latest timestamp of an applied entry. It never decreases.
	now     time.Time
	claims  claims
	configs configs
	leases  map[string]Lease
	// rollouts holds the last roll-out of each service.
	rollouts map[model.PoolID]model.Rollout
}

// NewMachine returns an empty state machine.
func NewMachine(limits Limits) *Machine {
	return &Machine{
		limits:  limits,
		claims:  newClaims(),
		configs: newConfigs(),
		leases:  make(map[string]Lease),

		rollouts: make(map[model.PoolID]model.Rollout),
	}
}

// Applied returns the index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.applied }

// Apply applies the log entry at index. An entry at or below the last applied index is ignored,
// so that no entry is applied twice.
func (m *Machine) Apply(index uint64, at time.Time, c Command) Result {
	if index <= m.applied {
		return Result{Index: m.applied}
	}
	m.applied = index
	// Round strips the monotonic clock reading, so that a replayed timestamp equals the original.
	if at = at.UTC().Round(0); at.After(m.now) {
		m.now = at
	}
	m.claims.expire(m.now, m.limits)
	r := m.apply(c)
	r.Index = index
	return r
}

// Skip records that the entry at index holds no command.
func (m *Machine) Skip(index uint64) { m.applied = max(m.applied, index) }

// apply executes a command at the applied index and the current time.
func (m *Machine) apply(c Command) Result {
	switch c := c.(type) {
	case Claim:
		return m.claims.claim(c, m.limits)
	case Finish:
		return m.claims.finish(c, m.applied, m.now, m.limits)
	case Abandon:
		return m.claims.abandon(c)
	case Release:
		return m.claims.release(c, m.applied, m.now, m.limits)
	case Refuse:
		return m.claims.refuse(c, m.applied, m.now, m.limits)
	case OwnerDead:
		m.claims.ownerDead(c)
	case ApplyConfig:
		return m.configs.apply(c, m.now, m.limits)
	case ReplaceConfig:
		return m.configs.replace(c, m.now)
	case StartRollout:
		return m.startRollout(c)
	case AdvanceRollout:
		return m.advanceRollout(c)
	case AcquireLease:
		return Result{Lease: m.acquire(c)}
	case ReleaseLease:
		return Result{Lease: m.release(c)}
	}
	r, _ := m.Read(c)
	return r
}

// Read executes a read-only command. It returns false for any other command.
func (m *Machine) Read(c Command) (Result, bool) {
	switch c := c.(type) {
	case Lookup:
		return m.Lookup(c), true
	case Await:
		return m.Lookup(c.Lookup), true
	case ReadConfig:
		return Result{Index: m.applied, Revision: m.configs.current.Revision, Changes: []AcceptedConfig{m.configs.current}}, true
	case ReadRollout:
		return m.readRollout(c), true
	case ListChanges:
		r := m.configs.list(c.Before)
		r.Index = m.applied
		return r, true
	}
	return Result{}, false
}

// Lookup reads the claim of a key.
func (m *Machine) Lookup(l Lookup) Result {
	r := m.claims.lookup(l)
	r.Index = m.applied
	return r
}

// Config returns the configuration in force.
func (m *Machine) Config() AcceptedConfig { return m.configs.current }

// History returns the accepted changes without their content, oldest first.
func (m *Machine) History() []Change { return m.configs.history }

// Leases returns all leases by name. The map is the machine's own and must not be modified.
func (m *Machine) Leases() map[string]Lease { return m.leases }

// ClaimCount returns the number of claims.
func (m *Machine) ClaimCount() int { return m.claims.table.len() }

// Owners returns the owners of held claims, sorted by instance and incarnation.
func (m *Machine) Owners() []Owner {
	return slices.SortedFunc(maps.Keys(m.claims.held), func(a, b Owner) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// acquire assigns the lease to the holder if its epoch is still c.ExpectedEpoch. The new epoch is
// larger than every earlier epoch of the lease, so it can serve as a fencing token.
func (m *Machine) acquire(c AcquireLease) Lease {
	l, known := m.leases[c.Name]
	if l.Epoch != c.ExpectedEpoch || !known && len(m.leases) >= m.limits.Leases {
		return l
	}
	l = Lease{Name: c.Name, Holder: c.Holder, Incarnation: c.Incarnation, Epoch: l.Epoch + 1}
	m.leases[c.Name] = l
	return l
}

// release removes the holder of the lease if its epoch is still c.Epoch. The lease keeps its
// epoch.
func (m *Machine) release(c ReleaseLease) Lease {
	l, known := m.leases[c.Name]
	if known && l.Epoch == c.Epoch {
		l.Holder = ""
		l.Incarnation = model.Incarnation(0)
		m.leases[c.Name] = l
	}
	return l
}
