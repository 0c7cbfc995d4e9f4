package controlcall

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// keptBeats is the number of sent heartbeats whose answers still count. At eight a second it
// covers more than the confirmation limit.
const keptBeats = 64

type sentBeat struct {
	at       time.Time
	revision model.Revision
}

// beats holds what the machine knows from heartbeats.
type beats struct {
	seq      uint64
	sent     map[uint64]sentBeat
	sentAt   time.Time
	answered uint64
	leases   map[string]state.Lease
	// renewed is, for each lease held here, the send time of the last heartbeat whose answer
	// listed it in its present epoch. The lease lasts from then.
	renewed map[string]time.Time
	// published is the table as subscribers know it.
	published   []Lease
	publishedAt time.Time
	// revision is in force here, offered is the last published one.
	revision model.Revision
	offered  model.Revision
	// confirmed is the send time of the last heartbeat that was answered with the revision
	// in force here.
	confirmed    time.Time
	confirmedNow bool
	stopping     bool
	// releasing is set from Release until LeasesReleased, with the sequence number from
	// which answers show the result.
	releasing    bool
	releaseSeq   uint64
	releaseUntil time.Time
}

func newBeats(now time.Time) beats {
	return beats{
		sent: make(map[uint64]sentBeat), leases: make(map[string]state.Lease),
		renewed: make(map[string]time.Time), publishedAt: now,
	}
}

// Confirm sets the revision in force at this instance.
func (m *Machine) Confirm(r model.Revision) { m.beats.revision = max(m.beats.revision, r) }

// Release gives up all leases and takes no more. It ends with LeasesReleased.
func (m *Machine) Release(now time.Time) []Effect {
	b := &m.beats
	if b.releasing {
		return nil
	}
	b.stopping, b.releasing = true, true
	b.releaseSeq, b.releaseUntil = b.seq+1, now.Add(commandTimeout)
	// Subscribers stop acting on the leases before the control group can reassign them.
	m.publishLeases(now)
	m.releaseHeld(now)
	m.beat(now)
	return m.take()
}

// releaseHeld proposes the release of each lease held here, also of one that was granted
// while the instance began to stop.
func (m *Machine) releaseHeld(now time.Time) {
	for _, l := range m.table() {
		c := state.ReleaseLease{Name: l.Name, Epoch: l.Epoch}
		if m.mine(l) && !m.waits(c) {
			m.start(now, c, true)
		}
	}
}

func (m *Machine) waits(c state.Command) bool {
	return slices.ContainsFunc(m.calls, func(p *call) bool { return !p.done && p.command == c })
}

func (m *Machine) released(err error) {
	if m.beats.releasing {
		m.beats.releasing = false
		m.emit(LeasesReleased{Err: err})
	}
}

func (m *Machine) mine(l state.Lease) bool {
	return l.Holder == m.options.Self && l.Incarnation == m.options.Incarnation
}

// acting reports whether this instance may act on a lease at a time.
func (m *Machine) acting(now time.Time, l state.Lease) bool {
	return m.mine(l) && !m.beats.stopping && now.Before(m.until(l))
}

// until is when a lease held here runs out by this instance's clock.
func (m *Machine) until(l state.Lease) time.Time {
	o := m.options.Lease
	return m.beats.renewed[l.Name].Add(o.LeaseDuration*time.Duration(100-o.DriftPercent)/100 - Tick)
}

// lapsed reports whether the time of a lease held here has run out and no news of another
// holder can have been missed for longer than the confirmation limit.
func (m *Machine) lapsed(now time.Time, l state.Lease) bool {
	return m.mine(l) && !m.beats.stopping && now.Sub(m.beats.renewed[l.Name]) < m.options.ConfirmWithin
}

// interval returns the time between heartbeats, which is shorter while a lease is held.
func (m *Machine) interval() time.Duration {
	for _, l := range m.beats.leases {
		if m.mine(l) {
			return m.options.HolderInterval
		}
	}
	return m.options.HeartbeatInterval
}

// Quiet reports that no command waits, the leader is known and has confirmed the configuration,
// and every lease held here lasts beyond the next quiet tick: then nothing but the next
// heartbeat needs a tick.
func (m *Machine) Quiet(now time.Time) bool {
	b := &m.beats
	if len(m.calls) > 0 || !m.leader || !b.confirmedNow || b.releasing {
		return false
	}
	for _, l := range b.leases {
		if m.mine(l) && !m.acting(now.Add(QuietTick+Tick), l) {
			return false
		}
	}
	return true
}

func (m *Machine) beat(now time.Time) {
	b := &m.beats
	b.sentAt = now
	if m.target == "" {
		return
	}
	b.seq++
	b.sent[b.seq] = sentBeat{at: now, revision: b.revision}
	delete(b.sent, b.seq-keptBeats)
	h := session.Heartbeat{
		Instance: m.options.Self, Incarnation: m.options.Incarnation, Revision: b.revision, Stopping: b.stopping,
		Holds: slices.DeleteFunc(m.table(), func(l state.Lease) bool { return !m.acting(now, l) }),
	}
	m.emit(SendHeartbeat{To: m.target, Seq: b.seq, Heartbeat: h})
}

func (m *Machine) tickBeats(now time.Time) {
	b := &m.beats
	// A tick that comes a little early must not delay the heartbeat by a whole tick.
	if now.Sub(b.sentAt) >= m.interval()-Tick/2 {
		m.beat(now)
	}
	m.publishLeases(now)
	if b.confirmedNow && now.Sub(b.confirmed) >= m.options.ConfirmWithin {
		b.confirmedNow = false
		m.emit(PublishConfirmed{OK: false})
	}
	if b.releasing && !now.Before(b.releaseUntil) {
		m.released(&fault.ControlUnavailable{Operation: "ReleaseLease"})
	}
}

// HeartbeatReply is a voter's answer to a heartbeat.
type HeartbeatReply struct {
	Seq       uint64
	NotLeader bool
	Leader    model.InstanceID
	session.Answer
}

// Answered takes an answer to a heartbeat. An answer older than one already taken counts
// for nothing.
func (m *Machine) Answered(now time.Time, from model.InstanceID, r HeartbeatReply) []Effect {
	if r.NotLeader {
		m.redirect(now, from, r.Leader)
		return m.take()
	}
	b := &m.beats
	sent, known := b.sent[r.Seq]
	if !known || r.Seq <= b.answered {
		return m.take()
	}
	b.answered = r.Seq
	m.obeyed(now, from)
	if len(r.Voters) > 0 {
		m.voters = slices.Clone(r.Voters)
	}
	m.learnLeases(r.Leases, sent.at)
	m.learnConfig(r, sent)
	if b.stopping {
		m.releaseHeld(now)
	}
	m.publishLeases(now)
	if r.Seq >= b.releaseSeq && !slices.ContainsFunc(m.table(), m.mine) {
		m.released(nil)
	}
	return m.take()
}

// learnLeases takes a table. An older epoch never replaces a newer one, and a released lease
// is not taken back at the same epoch, whatever a deposed leader answers.
func (m *Machine) learnLeases(table []state.Lease, sent time.Time) {
	for _, l := range table {
		old, known := m.beats.leases[l.Name]
		if !known || l.Epoch > old.Epoch || l.Epoch == old.Epoch && l.Holder == "" {
			m.beats.leases[l.Name] = l
		}
		if m.mine(l) && m.beats.leases[l.Name] == l {
			m.beats.renewed[l.Name] = sent
		}
	}
}

func (m *Machine) learnConfig(r HeartbeatReply, sent sentBeat) {
	b := &m.beats
	if r.Config != nil && r.Config.Revision > b.offered {
		b.offered = r.Config.Revision
		m.emit(PublishConfig{Config: *r.Config})
		m.emit(PublishAsOf{Revision: r.Config.Revision, At: sent.at})
	}
	if sent.revision != r.Revision {
		// A revision above the group's belongs to an earlier group: this one was founded anew
		// while the instance went on. It must not serve under a configuration that is not accepted.
		return
	}
	b.confirmed = sent.at
	m.emit(PublishAsOf{Revision: sent.revision, At: sent.at})
	if !b.confirmedNow {
		b.confirmedNow = true
		m.emit(PublishConfirmed{OK: true})
	}
}

// republishEvery is how often the table is published again in case a subscriber's ring was full.
const republishEvery = time.Second

// publishLeases publishes the table when it has changed, and again from time to time.
func (m *Machine) publishLeases(now time.Time) {
	b := &m.beats
	var table []Lease
	for _, l := range m.table() {
		held := Lease{Lease: l}
		switch {
		case l.Holder != m.options.Self:
		case m.acting(now, l):
			held.Until = m.until(l)
		case m.lapsed(now, l):
			held.Lapsed = true
		default:
			held.Holder, held.Incarnation = "", 0
		}
		table = append(table, held)
	}
	if slices.EqualFunc(table, b.published, Lease.sameHolder) && now.Sub(b.publishedAt) < m.republishAfter(table) {
		return
	}
	b.published, b.publishedAt = table, now
	m.emit(PublishLeases{Leases: slices.Clone(table)})
}

// republishAfter returns how long an unchanged table is not published again. The end of a
// lease that is held here moves with each heartbeat.
func (m *Machine) republishAfter(table []Lease) time.Duration {
	if slices.ContainsFunc(table, func(l Lease) bool { return !l.Until.IsZero() }) {
		return m.options.HeartbeatInterval
	}
	return republishEvery
}

// table returns the known leases by name.
func (m *Machine) table() []state.Lease {
	return slices.SortedFunc(maps.Values(m.beats.leases), func(a, b state.Lease) int { return cmp.Compare(a.Name, b.Name) })
}
