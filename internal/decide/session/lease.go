package session

import (
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// assignLeases proposes a holder for each declared lease that has none. A lease with a holder is
// not reassigned until it has expired, so that it never has two holders at a time.
func (t *Tracker) assignLeases(now time.Time, s State) []state.Command {
	t.trackLeases(now, s)
	if now.Sub(t.started) < t.leaseExpiry() {
		// The previous leader may have renewed any lease until the term began. The wait
		// also lets all live instances report before the leases are distributed.
		return nil
	}
	load := t.leaseCounts(now, s)
	var commands []state.Command
	for _, name := range s.Declared {
		l := s.Leases[name]
		if l.Holder != "" && now.Sub(t.renewed[name].at) < t.leaseExpiry() {
			continue
		}
		if p, ok := t.acquireProposed[name]; ok && p.epoch == l.Epoch && now.Sub(p.at) < proposalRetryInterval {
			continue
		}
		id, ok := leastLoaded(load, l.Holder)
		if !ok {
			break
		}
		load[id]++
		t.acquireProposed[name] = proposal{epoch: l.Epoch, at: now}
		commands = append(commands, state.AcquireLease{
			Name: name, Holder: id, Incarnation: t.instances[id].incarnation, After: l.Epoch,
		})
	}
	return commands
}

// leaseExpiry returns the time after the last renewal at which the holder has certainly stopped,
// whichever of the two clocks runs faster.
func (t *Tracker) leaseExpiry() time.Duration {
	return t.options.LeaseDuration * time.Duration(100+t.options.DriftPercent) / 100
}

// trackLeases starts the expiry time of leases that were granted or found since the last tick.
func (t *Tracker) trackLeases(now time.Time, s State) {
	for name, l := range s.Leases {
		if r, ok := t.renewed[name]; !ok || r.epoch != l.Epoch {
			t.renewed[name] = renewal{epoch: l.Epoch, at: now}
		}
	}
}

// leaseCounts counts the unexpired leases of each instance that can acquire one. Proposals that are
// not applied yet are not counted; they are few, and the epoch check covers them.
func (t *Tracker) leaseCounts(now time.Time, s State) map[model.InstanceID]int {
	load := make(map[model.InstanceID]int)
	for id, i := range t.instances {
		if !i.stopping && now.Sub(i.lastHeartbeat) < t.options.LeaseDuration {
			load[id] = 0
		}
	}
	for name, l := range s.Leases {
		if _, ok := load[l.Holder]; ok && now.Sub(t.renewed[name].at) < t.leaseExpiry() {
			load[l.Holder]++
		}
	}
	return load
}

// leastLoaded returns the instance with the fewest leases. Among equals it prefers the previous
// holder, whose clients already send to it, then the first by name.
func leastLoaded(load map[model.InstanceID]int, previous model.InstanceID) (model.InstanceID, bool) {
	var best model.InstanceID
	found := false
	for id, n := range load {
		switch {
		case !found || n < load[best]:
			best, found = id, true
		case n > load[best] || best == previous:
		case id == previous || id < best:
			best = id
		}
	}
	return best, found
}
