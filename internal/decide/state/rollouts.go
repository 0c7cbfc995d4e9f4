package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
)

const (
	// MaxRollouts bounds the services with a roll-out. The roll-out that ended first is forgotten beyond it.
	MaxRollouts = 512
	// MaxRejected bounds the versions of a service that are remembered as rolled back.
	MaxRejected = 16
	// repeatWindow is how long after the end of a roll-out an order with the same target and duration counts
	// as the same order. Operators resend an order for 5 s. It is measured by wall clocks, because the times of the
	// log are those of the leader since its machine was booted.
	repeatWindow = time.Minute
)

// startRollout starts a roll-out. A repeated order is acknowledged again.
func (m *Machine) startRollout(c StartRollout) Result {
	old, known := m.rollouts[c.Service]
	if known && m.isRepeat(&old, &c) {
		return Result{Rollout: &old}
	}
	if known && !old.Ended() {
		return Result{Rollout: &old, Err: &fault.RolloutConflict{Service: c.Service, Target: old.Target}}
	}
	if !known && len(m.rollouts) >= MaxRollouts && !m.forgetRollout() {
		return Result{Err: &fault.RolloutsFull{Service: c.Service}}
	}
	r := model.Rollout{
		Service: c.Service, Target: c.Target, Duration: c.Duration, Number: m.applied, Generation: m.applied, ChangedAt: c.At, Base: old.Base,
		Rejected: slices.DeleteFunc(slices.Clone(old.Rejected), func(v string) bool { return v == c.Target }),
	}
	m.rollouts[c.Service] = r
	return Result{Rollout: &r}
}

// isRepeat reports whether an order changes nothing: it is the same order again, or its target is already in
// force.
func (m *Machine) isRepeat(old *model.Rollout, c *StartRollout) bool {
	switch {
	case old.Target != c.Target:
		return false
	case old.Phase == model.RolloutCompleted:
		return true
	case old.Duration != c.Duration:
		return false
	}
	return !old.Ended() || c.At.Sub(old.ChangedAt) < repeatWindow
}

// forgetRollout removes the roll-out that ended first and reports whether there was one.
func (m *Machine) forgetRollout() bool {
	var oldest *model.Rollout
	for _, r := range m.rollouts {
		if r.Ended() && (oldest == nil || r.Generation < oldest.Generation) {
			oldest = &r
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.rollouts, oldest.Service)
	return true
}

// advanceRollout changes a roll-out in progress. One that has changed since c.Generation, or has ended, is
// returned unchanged.
func (m *Machine) advanceRollout(c AdvanceRollout) Result {
	r, known := m.rollouts[c.Service]
	if !known {
		return Result{Err: &fault.UnknownRollout{Service: c.Service}}
	}
	if r.Ended() || r.Generation != c.Generation {
		return Result{Rollout: &r}
	}
	r.Generation, r.Phase, r.Trusted = m.applied, c.Phase, c.Trusted
	r.Requests, r.Reserved = max(r.Requests, c.Requests), max(r.Reserved, c.Reserved)
	r.Elapsed, r.ChangedAt, r.Evidence = max(r.Elapsed, c.Elapsed), c.At, c.Evidence
	switch r.Phase {
	case model.RolloutInProgress:
	case model.RolloutCompleted:
		r.Base = r.Target
	case model.RolloutRolledBack:
		r.Trusted = false
		r.Rejected = append(slices.Clone(r.Rejected), r.Target)
		r.Rejected = r.Rejected[max(len(r.Rejected)-MaxRejected, 0):]
	}
	m.rollouts[c.Service] = r
	return Result{Rollout: &r}
}

// readRollout returns the last roll-out of a service.
func (m *Machine) readRollout(c ReadRollout) Result {
	r, known := m.rollouts[c.Service]
	if !known {
		return Result{Index: m.applied, Err: &fault.UnknownRollout{Service: c.Service}}
	}
	return Result{Index: m.applied, Rollout: &r}
}

// Rollouts returns the last roll-out of each service, sorted by name. Their lists are never modified.
func (m *Machine) Rollouts() []model.Rollout {
	if len(m.rollouts) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(m.rollouts), func(a, b model.Rollout) int { return cmp.Compare(a.Service, b.Service) })
}

// RolloutsGeneration returns the log index of the last change of any roll-out, or zero.
func (m *Machine) RolloutsGeneration() uint64 {
	generation := uint64(0)
	for _, r := range m.rollouts {
		generation = max(generation, r.Generation)
	}
	return generation
}

// restoreRollouts sets the roll-outs of an export. It returns the reason why they are invalid, or an empty
// string.
func (m *Machine) restoreRollouts(list []model.Rollout) string {
	if len(list) > MaxRollouts {
		return "too many roll-outs"
	}
	for _, r := range list {
		if _, duplicate := m.rollouts[r.Service]; duplicate || len(r.Rejected) > MaxRejected || r.Generation > m.applied || r.Number > r.Generation {
			return "invalid roll-out"
		}
		m.rollouts[r.Service] = r
	}
	return ""
}
