package member

import (
	"time"

	"briaryard/internal/model"
)

// PeerUp reports an open connection to an instance.
func (m *Machine) PeerUp(now time.Time, r model.Instance) {
	m.mergeInstance(now, r)
	i := m.instances[r.ID]
	if i == nil || r.Incarnation < i.record.Incarnation {
		return
	}
	if m.isolated {
		// The others may have adopted the backend servers that were not heard here.
		m.isolated = false
		m.hold(now, "this instance was cut off from all others")
	}
	i.up, i.silent, i.heard = true, false, now
	m.judge(i, model.Alive, "connected")
	if !m.settled {
		m.sends = append(m.sends, Send{To: r.ID, Body: Want{Whole: true}})
	}
	// Changes that were lost with an earlier connection are made up for at once.
	m.sends = append(m.sends, Send{To: r.ID, Body: Records{Instances: []model.Instance{m.self}}},
		Send{To: r.ID, Body: Digest{Buckets: m.digest()}})
}

// PeerHeard reports that a silent connection carries data again.
func (m *Machine) PeerHeard(now time.Time, id model.InstanceID) {
	if i := m.instances[id]; i != nil {
		i.silent, i.heard = false, now
		m.judge(i, model.Alive, "heard again")
	}
}

// PeerSilent reports that nothing arrives on an open connection; PeerDown that there is no
// connection. Heard is when data last arrived.
func (m *Machine) PeerSilent(now time.Time, id model.InstanceID, heard time.Time, down bool) {
	i := m.instances[id]
	if i == nil {
		return
	}
	i.silent, i.heard = true, heard
	if down && i.up {
		i.up = false
		m.isolated = len(m.Connected()) == 0
	}
	m.detectCutOff(now)
}

// detectCutOff holds expiry back when more than half of the peers went silent at once: the
// fault is then more likely on this side. With a single peer nothing can be told.
func (m *Machine) detectCutOff(now time.Time) {
	total, silent := 0, 0
	for _, i := range m.instances {
		if i.judged == model.Gone {
			continue
		}
		total++
		if i.silent {
			silent++
		}
	}
	cutOff := total > 1 && 2*silent > total
	if cutOff && !m.cutOff {
		m.hold(now, "more than half of the instances went silent")
	}
	m.cutOff = cutOff
}

func (m *Machine) hold(now time.Time, reason string) {
	m.holdUntil = now.Add(HoldFor)
	m.held = append(m.held, reason)
}

// Tick applies the limits of silence and starts the exchange of digests.
func (m *Machine) Tick(now time.Time) {
	if now.Sub(m.lastTick) > PauseGap {
		m.hold(now, "this instance was paused")
	}
	m.lastTick = now
	if !m.settled && now.Sub(m.began) >= SettleAfter {
		m.settled, m.changed = true, true
	}
	m.forget(now)
	m.restore()
	if now.Before(m.holdUntil) {
		return
	}
	for _, i := range m.instances {
		m.expireInstance(now, i)
	}
	for _, s := range m.servers {
		m.expireServer(now, s)
	}
	m.detectCutOff(now)
	m.sendDigest(now)
}

func (m *Machine) expireInstance(now time.Time, i *instance) {
	if i.up && !i.silent || i.judged == model.Gone {
		return
	}
	switch silence := now.Sub(i.heard); {
	case silence >= GoneAfter:
		i.goneAt = now
		m.judge(i, model.Gone, "no connection")
	case silence >= SuspectAfter:
		m.judge(i, model.Suspect, "silent")
	}
}

func (m *Machine) expireServer(now time.Time, s *server) {
	if s.record.State == model.Gone {
		return
	}
	if s.record.Home == m.self.ID {
		m.expireOwn(now, s)
		return
	}
	home := m.instances[s.record.Home]
	switch gone := home == nil || home.judged == model.Gone; {
	case gone && s.orphaned.IsZero():
		s.orphaned = now
		m.changed = true
	case gone && !s.lost && now.Sub(s.orphaned) >= GoneAfter:
		// Only this observer may be cut off from the home, so the record stays as it is.
		s.lost = true
		m.changed = true
		m.changes = append(m.changes, Change{
			Server: s.record.ID, Incarnation: s.record.Incarnation, State: model.Gone,
			Reason: "its home is gone and no other instance adopted it",
		})
	}
}

// quietWithin is how long ago a backend server at home here may have been heard for it not to
// become suspect before the tick after the next, at 250 ms between ticks.
const quietWithin = SuspectAfter - 600*time.Millisecond

// Quiet reports that no limit of silence can be reached soon.
func (m *Machine) Quiet(now time.Time) bool {
	if !m.settled || now.Before(m.holdUntil) {
		return false
	}
	for _, i := range m.instances {
		if i.judged != model.Gone && (!i.up || i.silent) {
			return false
		}
	}
	for _, s := range m.servers {
		own := s.record.Home == m.self.ID && s.record.State != model.Gone
		if own && now.Sub(s.heard) >= quietWithin || !s.orphaned.IsZero() && !s.lost {
			return false
		}
	}
	return true
}

// restore takes backend servers back whose home has come back. It does so also while nothing
// expires.
func (m *Machine) restore() {
	for _, s := range m.servers {
		if s.orphaned.IsZero() || s.record.Home == m.self.ID {
			continue
		}
		if home := m.instances[s.record.Home]; home != nil && home.judged != model.Gone {
			s.orphaned, s.lost = time.Time{}, false
			m.changed = true
		}
	}
}

// expireOwn judges a backend server whose home is this instance.
func (m *Machine) expireOwn(now time.Time, s *server) {
	r := s.record
	switch silence := now.Sub(s.heard); {
	case silence >= GoneAfter && m.isolated:
		m.loseOwn(now, s)
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
	m.flood.Servers = append(m.flood.Servers, r)
}

// loseOwn judges a backend server while no other instance can be reached. Another one may have
// adopted it, so its record, in which gone would be final, stays as it is.
func (m *Machine) loseOwn(now time.Time, s *server) {
	if s.lost {
		return
	}
	s.lost, s.orphaned = true, now
	m.changed = true
	m.changes = append(m.changes, Change{
		Server: s.record.ID, Incarnation: s.record.Incarnation, State: model.Gone,
		Reason: "no heartbeat, and this instance is cut off from all others",
	})
}

// forget drops members that have been gone for long.
func (m *Machine) forget(now time.Time) {
	for id, i := range m.instances {
		if i.judged == model.Gone && now.Sub(i.goneAt) >= Remember {
			delete(m.instances, id)
			m.changed = true
		}
	}
	for id, s := range m.servers {
		if s.record.State == model.Gone && now.Sub(s.goneAt) >= Remember || s.lost && now.Sub(s.orphaned) >= Remember {
			delete(m.servers, id)
			m.changed = true
		}
	}
}

func (m *Machine) judge(i *instance, state model.MemberState, reason string) {
	if i.judged == state {
		return
	}
	i.judged = state
	m.changed = true
	m.log(i, reason)
}

func (m *Machine) log(i *instance, reason string) {
	m.changes = append(m.changes, Change{
		Instance: i.record.ID, Incarnation: i.record.Incarnation, State: i.judged, Reason: reason,
	})
}
