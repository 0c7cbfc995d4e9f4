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

// maxSentHeartbeats is the number of sent heartbeats whose answers are still accepted. At eight
// heartbeats a second it covers more than the confirmation limit.
const maxSentHeartbeats = 64

// sentHeartbeat is the send time of a heartbeat and the revision that it reported.
type sentHeartbeat struct {
	at       time.Time
	revision model.Revision
}

// heartbeatState is the state that heartbeats and their answers maintain.
type heartbeatState struct {
	seq          uint64
	sent         map[uint64]sentHeartbeat
	lastSent     time.Time
	lastAnswered uint64
	leases       map[string]state.Lease
	// renewed is, for each lease held here, the send time of the last heartbeat whose answer
	// listed it in its current epoch. The lease duration counts from then.
	renewed map[string]time.Time
	// published is the table that was last published to subscribers, at publishedAt.
	published   []Lease
	publishedAt time.Time
	// revision is the one in force here, publishedRevision the last published one.
	revision          model.Revision
	publishedRevision model.Revision
	// rollouts is the generation of the roll-outs that were last published.
	rollouts uint64
	// confirmedAt is the send time of the last heartbeat that was answered with the revision
	// in force here.
	confirmedAt time.Time
	isConfirmed bool
	stopping    bool
	// releasing is set from Release until LeasesReleased. Answers to heartbeats from
	// releaseSeq on show the result.
	releasing       bool
	releaseSeq      uint64
	releaseDeadline time.Time
}

func newHeartbeatState(now time.Time, first uint64) heartbeatState {
	return heartbeatState{
		seq: first, sent: make(map[uint64]sentHeartbeat), leases: make(map[string]state.Lease),
		renewed: make(map[string]time.Time), publishedAt: now,
	}
}

// SetRevision sets the revision in force at this instance.
func (m *Machine) SetRevision(r model.Revision) { m.heartbeat.revision = max(m.heartbeat.revision, r) }

// Release releases all leases and acquires no more. It ends with LeasesReleased.
func (m *Machine) Release(now time.Time) []Effect {
	hb := &m.heartbeat
	if hb.releasing {
		return nil
	}
	hb.stopping, hb.releasing = true, true
	hb.releaseSeq, hb.releaseDeadline = hb.seq+1, now.Add(commandTimeout)
	// Subscribers stop acting on the leases before the control group can reassign them.
	m.publishLeases(now)
	m.releaseHeld(now)
	m.sendHeartbeat(now)
	return m.takeEffects()
}

// releaseHeld sends a release command for each lease held here, also for one that was granted
// while the instance began to stop.
func (m *Machine) releaseHeld(now time.Time) {
	for _, l := range m.sortedLeases() {
		c := state.ReleaseLease{Name: l.Name, Epoch: l.Epoch}
		if m.heldHere(l) && !m.pending(c) {
			m.start(now, c, true)
		}
	}
}

// pending reports whether a command is in progress.
func (m *Machine) pending(c state.Command) bool {
	return slices.ContainsFunc(m.commands, func(p *pendingCommand) bool { return !p.done && p.command == c })
}

// finishRelease ends a Release that is in progress.
func (m *Machine) finishRelease(err error) {
	if m.heartbeat.releasing {
		m.heartbeat.releasing = false
		m.emit(LeasesReleased{Err: err})
	}
}

// heldHere reports whether this incarnation of the instance holds a lease.
func (m *Machine) heldHere(l state.Lease) bool {
	return l.Holder == m.options.Self && l.Incarnation == m.options.Incarnation
}

// mayAct reports whether this instance may act on a lease at now.
func (m *Machine) mayAct(now time.Time, l state.Lease) bool {
	return m.heldHere(l) && !m.heartbeat.stopping && now.Before(m.leaseExpiry(l))
}

// leaseExpiry returns when a lease held here expires by this instance's clock.
func (m *Machine) leaseExpiry(l state.Lease) time.Time {
	o := m.options.Lease
	return m.heartbeat.renewed[l.Name].Add(o.LeaseDuration*time.Duration(100-o.DriftPercent)/100 - TickInterval)
}

// expired reports whether a lease that this instance holds but may no longer act on counts as
// lapsed: news of another holder cannot have been missed for longer than the confirmation limit.
func (m *Machine) expired(now time.Time, l state.Lease) bool {
	return m.heldHere(l) && !m.heartbeat.stopping && now.Sub(m.heartbeat.renewed[l.Name]) < m.options.ConfirmWithin
}

// heartbeatInterval returns the time between heartbeats, which is shorter while a lease is held.
func (m *Machine) heartbeatInterval() time.Duration {
	for _, l := range m.heartbeat.leases {
		if m.heldHere(l) {
			return m.options.HolderInterval
		}
	}
	return m.options.HeartbeatInterval
}

// Quiet reports whether no command or release is pending, the leader is known and has confirmed
// the configuration, and every lease held here lasts beyond the next quiet tick. Then only the
// next heartbeat needs a tick.
func (m *Machine) Quiet(now time.Time) bool {
	hb := &m.heartbeat
	if len(m.commands) > 0 || !m.leader || !hb.isConfirmed || hb.releasing {
		return false
	}
	for _, l := range hb.leases {
		if m.heldHere(l) && !m.mayAct(now.Add(QuietTickInterval+TickInterval), l) {
			return false
		}
	}
	return true
}

// sendHeartbeat sends a heartbeat to the target, if there is one.
func (m *Machine) sendHeartbeat(now time.Time) {
	hb := &m.heartbeat
	hb.lastSent = now
	if m.target == "" {
		return
	}
	hb.seq++
	hb.sent[hb.seq] = sentHeartbeat{at: now, revision: hb.revision}
	delete(hb.sent, hb.seq-maxSentHeartbeats)
	h := session.Heartbeat{
		Instance: m.options.Self, Incarnation: m.options.Incarnation, Revision: hb.revision, Stopping: hb.stopping, Rollouts: hb.rollouts,
		Holds: slices.DeleteFunc(m.sortedLeases(), func(l state.Lease) bool { return !m.mayAct(now, l) }),
	}
	m.emit(SendHeartbeat{To: m.target, Seq: hb.seq, Heartbeat: h})
}

// HeartbeatUnsent handles a heartbeat that could not be sent, because the connection to the target is not
// open yet. Until the first answer, the next tick sends one again: waiting for the next interval would leave
// an instance that has started without a configuration for that long after it has learned who leads.
// Later, an instance whose target is gone keeps its interval.
func (m *Machine) HeartbeatUnsent(seq uint64) {
	hb := &m.heartbeat
	if seq == hb.seq && hb.lastAnswered == 0 {
		hb.lastSent = time.Time{}
	}
}

// tickHeartbeat sends the next heartbeat when it is due and ends leases, the confirmation and a
// release whose time has run out.
func (m *Machine) tickHeartbeat(now time.Time) {
	hb := &m.heartbeat
	// A tick that arrives slightly early must not delay the heartbeat by a whole tick.
	if now.Sub(hb.lastSent) >= m.heartbeatInterval()-TickInterval/2 {
		m.sendHeartbeat(now)
	}
	m.publishLeases(now)
	if hb.isConfirmed && now.Sub(hb.confirmedAt) >= m.options.ConfirmWithin {
		hb.isConfirmed = false
		m.emit(PublishConfirmed{OK: false})
	}
	if hb.releasing && !now.Before(hb.releaseDeadline) {
		m.finishRelease(&fault.ControlUnavailable{Operation: "ReleaseLease"})
	}
}

// HeartbeatReply is a voter's answer to a heartbeat.
type HeartbeatReply struct {
	Seq       uint64
	NotLeader bool
	Leader    model.InstanceID
	session.Answer
}

// HandleHeartbeatReply handles the answer to a heartbeat. An answer to an earlier heartbeat than
// the last answered one is ignored.
func (m *Machine) HandleHeartbeatReply(now time.Time, from model.InstanceID, r HeartbeatReply) []Effect {
	if r.NotLeader {
		m.AddVoters(r.Voters)
		m.redirect(now, from, r.Leader)
		return m.takeEffects()
	}
	hb := &m.heartbeat
	sent, known := hb.sent[r.Seq]
	if !known || r.Seq <= hb.lastAnswered {
		return m.takeEffects()
	}
	hb.lastAnswered = r.Seq
	m.leaderAnswered(now, from)
	if len(r.Voters) > 0 {
		m.voters = slices.Clone(r.Voters)
	}
	m.updateLeases(r.Leases, sent.at)
	if r.RolloutsGeneration > hb.rollouts && len(r.Rollouts) > 0 {
		// Published before the configuration: an instance that has its first configuration knows them.
		hb.rollouts = r.RolloutsGeneration
		m.emit(PublishRollouts{Rollouts: r.Rollouts})
	}
	m.updateConfig(r, sent)
	if hb.stopping {
		m.releaseHeld(now)
	}
	m.publishLeases(now)
	if r.Seq >= hb.releaseSeq && !slices.ContainsFunc(m.sortedLeases(), m.heldHere) {
		m.finishRelease(nil)
	}
	return m.takeEffects()
}

// updateLeases merges a lease table from the leader into the known one. An older epoch never
// replaces a newer one, and a released lease does not regain a holder in the same epoch, whatever
// a deposed leader answers.
func (m *Machine) updateLeases(table []state.Lease, sent time.Time) {
	for _, l := range table {
		old, known := m.heartbeat.leases[l.Name]
		if !known || l.Epoch > old.Epoch || l.Epoch == old.Epoch && l.Holder == "" {
			m.heartbeat.leases[l.Name] = l
		}
		if m.heldHere(l) && m.heartbeat.leases[l.Name] == l {
			m.heartbeat.renewed[l.Name] = sent
		}
	}
}

// updateConfig publishes a newer configuration. It confirms the revision in force if the answered
// heartbeat reported the accepted one.
func (m *Machine) updateConfig(r HeartbeatReply, sent sentHeartbeat) {
	hb := &m.heartbeat
	if r.Config != nil && r.Config.Revision > hb.publishedRevision {
		hb.publishedRevision = r.Config.Revision
		m.emit(PublishConfig{Config: *r.Config})
		m.emit(PublishAcceptedAt{Revision: r.Config.Revision, At: sent.at})
	}
	if sent.revision != r.Revision {
		// A revision above the group's belongs to an earlier group: the group was bootstrapped
		// again while the instance kept running. The instance must not serve under a
		// configuration that is not accepted.
		return
	}
	hb.confirmedAt = sent.at
	m.emit(PublishAcceptedAt{Revision: sent.revision, At: sent.at})
	if !hb.isConfirmed {
		hb.isConfirmed = true
		m.emit(PublishConfirmed{OK: true})
	}
}

// republishInterval is how often the unchanged table is published again, because a subscriber's
// ring may have been full.
const republishInterval = time.Second

// publishLeases publishes the table when it has changed, and again after republishDelay.
func (m *Machine) publishLeases(now time.Time) {
	hb := &m.heartbeat
	var table []Lease
	for _, l := range m.sortedLeases() {
		held := Lease{Lease: l}
		switch {
		case l.Holder != m.options.Self:
		case m.mayAct(now, l):
			held.Until = m.leaseExpiry(l)
		case m.expired(now, l):
			held.Lapsed = true
		default:
			held.Holder, held.Incarnation = "", 0
		}
		table = append(table, held)
	}
	if slices.EqualFunc(table, hb.published, Lease.sameHolder) && now.Sub(hb.publishedAt) < m.republishDelay(table) {
		return
	}
	hb.published, hb.publishedAt = table, now
	m.emit(PublishLeases{Leases: slices.Clone(table)})
}

// republishDelay returns the time after which an unchanged table is published again. It is shorter
// with a lease that is held here, whose expiry moves with each heartbeat.
func (m *Machine) republishDelay(table []Lease) time.Duration {
	if slices.ContainsFunc(table, func(l Lease) bool { return !l.Until.IsZero() }) {
		return m.options.HeartbeatInterval
	}
	return republishInterval
}

// sortedLeases returns the known leases sorted by name.
func (m *Machine) sortedLeases() []state.Lease {
	return slices.SortedFunc(maps.Values(m.heartbeat.leases), func(a, b state.Lease) int { return cmp.Compare(a.Name, b.Name) })
}
