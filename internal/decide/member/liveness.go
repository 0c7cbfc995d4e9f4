package member

import (
	"time"

	"briaryard/internal/model"
)

// PeerUp handles a new connection to an instance: it marks the instance as alive and sends it the
// own record and a digest.
func (m *Machine) PeerUp(now time.Time, r model.Instance) {
	m.mergeInstance(now, r)
	i := m.instances[r.ID]
	if i == nil || r.Incarnation < i.record.Incarnation {
		return
	}
	if m.isolated {
		// Other instances may have adopted the backend servers whose heartbeats are missing here.
		m.isolated = false
		m.holdExpiry(now, "this instance was disconnected from all others")
	}
	i.connected, i.silent, i.lastReceived = true, false, now
	m.setObservedState(i, model.Alive, "connected")
	if !m.settled {
		m.outbox = append(m.outbox, Send{To: r.ID, Body: Want{Whole: true}})
	}
	// The digest lets the peer repair changes that were lost with an earlier connection at once.
	m.outbox = append(m.outbox, Send{To: r.ID, Body: Records{Instances: []model.Instance{m.self}}},
		Send{To: r.ID, Body: Digest{Buckets: m.digest()}})
}

// PeerHeard handles data on a connection that was silent: it marks the instance as alive.
func (m *Machine) PeerHeard(now time.Time, id model.InstanceID) {
	if i := m.instances[id]; i != nil {
		i.silent, i.lastReceived = false, now
		m.setObservedState(i, model.Alive, "data received again")
	}
}

// PeerSilent handles a connection that no longer receives data or, if down is set, has ended.
// lastReceived is when data last arrived on it.
func (m *Machine) PeerSilent(now time.Time, id model.InstanceID, lastReceived time.Time, down bool) {
	i := m.instances[id]
	if i == nil {
		return
	}
	i.silent, i.lastReceived = true, lastReceived
	if down && i.connected {
		i.connected = false
		m.isolated = len(m.Connected()) == 0
	}
	m.detectPartition(now)
}

// detectPartition suspends expiry when more than half of the peers are silent at once: the fault
// is then more likely on this side. With a single peer the side cannot be determined.
func (m *Machine) detectPartition(now time.Time) {
	total, silent := 0, 0
	for _, i := range m.instances {
		if i.observedState == model.Gone {
			continue
		}
		total++
		if i.silent {
			silent++
		}
	}
	partitioned := total > 1 && 2*silent > total
	if partitioned && !m.partitioned {
		m.holdExpiry(now, "more than half of the instances went silent")
	}
	m.partitioned = partitioned
}

// holdExpiry suspends expiry for HoldFor and records the reason for the log.
func (m *Machine) holdExpiry(now time.Time, reason string) {
	m.expiryHeldUntil = now.Add(HoldFor)
	m.holdReasons = append(m.holdReasons, reason)
}

// Tick detects a pause of the observer, ends the wait for the records of others, purges old
// records, applies the failure detection timeouts and sends digests. The last two are skipped
// while expiry is suspended.
func (m *Machine) Tick(now time.Time) {
	if now.Sub(m.lastTick) > PauseGap {
		m.holdExpiry(now, "this instance was paused")
	}
	m.lastTick = now
	if !m.settled && now.Sub(m.startedAt) >= SettleAfter {
		m.settled, m.changed = true, true
	}
	m.purgeGone(now)
	m.restoreOrphaned()
	if now.Before(m.expiryHeldUntil) {
		return
	}
	for _, i := range m.instances {
		m.expireInstance(now, i)
	}
	for _, s := range m.servers {
		m.expireServer(now, s)
	}
	m.detectPartition(now)
	m.sendDigest(now)
}

// expireInstance marks an instance whose connection is silent or has ended as suspect or gone,
// depending on how long no data has arrived.
func (m *Machine) expireInstance(now time.Time, i *instance) {
	if i.connected && !i.silent || i.observedState == model.Gone {
		return
	}
	switch silence := now.Sub(i.lastReceived); {
	case silence >= GoneAfter:
		i.goneAt = now
		m.setObservedState(i, model.Gone, "no connection")
	case silence >= SuspectAfter:
		m.setObservedState(i, model.Suspect, "silent")
	}
}

// expireServer applies the heartbeat timeouts to a backend server whose home is this instance.
// One whose home is gone is orphaned, and lost if no other instance adopts it within GoneAfter.
func (m *Machine) expireServer(now time.Time, s *server) {
	if s.record.State == model.Gone {
		return
	}
	if s.record.Home == m.self.ID {
		m.expireOwnServer(now, s)
		return
	}
	home := m.instances[s.record.Home]
	switch gone := home == nil || home.observedState == model.Gone; {
	case gone && s.orphanedAt.IsZero():
		s.orphanedAt = now
		m.changed = true
	case gone && !s.lost && now.Sub(s.orphanedAt) >= GoneAfter:
		// Possibly only this observer is disconnected from the home, so the record is unchanged.
		s.lost = true
		m.changed = true
		m.changes = append(m.changes, Change{
			Server: s.record.ID, Incarnation: s.record.Incarnation, State: model.Gone,
			Reason: "its home is gone and no other instance adopted it",
		})
	}
}

// quietHeartbeatAge is the maximum age of the last heartbeat of a backend server whose home is
// this instance, so that it does not become suspect before the tick after the next, at 250 ms
// between ticks.
const quietHeartbeatAge = SuspectAfter - 600*time.Millisecond

// Quiet reports whether no failure detection timeout can be reached soon, so that ticks may come
// less often.
func (m *Machine) Quiet(now time.Time) bool {
	if !m.settled || now.Before(m.expiryHeldUntil) {
		return false
	}
	for _, i := range m.instances {
		if i.observedState != model.Gone && (!i.connected || i.silent) {
			return false
		}
	}
	for _, s := range m.servers {
		own := s.record.Home == m.self.ID && s.record.State != model.Gone
		if own && now.Sub(s.lastHeartbeat) >= quietHeartbeatAge || !s.orphanedAt.IsZero() && !s.lost {
			return false
		}
	}
	return true
}

// restoreOrphaned clears the orphaned state of backend servers whose home is no longer gone. Tick
// calls it also while expiry is suspended.
func (m *Machine) restoreOrphaned() {
	for _, s := range m.servers {
		if s.orphanedAt.IsZero() || s.record.Home == m.self.ID {
			continue
		}
		if home := m.instances[s.record.Home]; home != nil && home.observedState != model.Gone {
			s.orphanedAt, s.lost = time.Time{}, false
			m.changed = true
		}
	}
}

// expireOwnServer applies the heartbeat timeouts to a backend server whose home is this instance
// and broadcasts the change.
func (m *Machine) expireOwnServer(now time.Time, s *server) {
	r := s.record
	switch silence := now.Sub(s.lastHeartbeat); {
	case silence >= GoneAfter && m.isolated:
		m.markOwnServerLost(now, s)
		return
	case silence >= GoneAfter:
		r.State = model.Gone
	case silence >= SuspectAfter && r.State == model.Alive:
		r.State = model.Suspect
	default:
		return
	}
	r.Sequence++
	m.setServer(now, s, r, "no heartbeat")
	m.broadcast.Servers = append(m.broadcast.Servers, r)
}

// markOwnServerLost marks a backend server whose heartbeats are missing as lost while this
// instance is isolated. Another instance may have adopted it, so its record is unchanged: gone
// would be final there.
func (m *Machine) markOwnServerLost(now time.Time, s *server) {
	if s.lost {
		return
	}
	s.lost, s.orphanedAt = true, now
	m.changed = true
	m.changes = append(m.changes, Change{
		Server: s.record.ID, Incarnation: s.record.Incarnation, State: model.Gone,
		Reason: "no heartbeat, and this instance is disconnected from all others",
	})
}

// purgeGone removes members that have been gone or lost for at least Remember.
func (m *Machine) purgeGone(now time.Time) {
	for id, i := range m.instances {
		if i.observedState == model.Gone && now.Sub(i.goneAt) >= Remember {
			delete(m.instances, id)
			m.changed = true
		}
	}
	for id, s := range m.servers {
		if s.record.State == model.Gone && now.Sub(s.goneAt) >= Remember || s.lost && now.Sub(s.orphanedAt) >= Remember {
			delete(m.servers, id)
			m.changed = true
		}
	}
}

// setObservedState changes the observed state of an instance and records the change for the log.
func (m *Machine) setObservedState(i *instance, state model.MemberState, reason string) {
	if i.observedState == state {
		return
	}
	i.observedState = state
	m.changed = true
	m.recordChange(i, reason)
}

// recordChange records the observed state of an instance for the log.
func (m *Machine) recordChange(i *instance, reason string) {
	m.changes = append(m.changes, Change{
		Instance: i.record.ID, Incarnation: i.record.Incarnation, State: i.observedState, Reason: reason,
	})
}
