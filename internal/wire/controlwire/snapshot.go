package controlwire

import (
	"math"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/wire/controlpb"
)

// Largest encoded sizes of the parts of a snapshot. Operators, change ids and the names in
// claims have at most maxText bytes.
const (
	snapshotBase     = 2 * MaxCommand
	snapshotClaim    = 4 * maxText
	snapshotBarrier  = 64
	snapshotChange   = 8 * maxText
	snapshotLeaseTab = maxLeases * 4 * maxText
)

// maxSnapshot bounds the encoded size of a snapshot; protobuf allows no more than 2 GiB.
func maxSnapshot(l state.Limits) int {
	size := snapshotBase + snapshotLeaseTab + l.TotalAnswerBytes +
		l.Claims*snapshotClaim + l.Barriers*snapshotBarrier + l.Changes*snapshotChange
	return min(size, math.MaxInt32)
}

// EncodeSnapshot returns the whole state in the form of a snapshot file. It holds a copy of
// the state in memory while it runs.
func EncodeSnapshot(m *state.Machine) ([]byte, error) {
	e := m.Export()
	s := &controlpb.Snapshot{
		Applied: e.Applied, Now: toNanos(e.Now), Floor: e.Floor,
		Config: configToPB(e.Config), Leases: leasesToPB(e.Leases),
	}
	for i := range e.Claims {
		s.Claims = append(s.Claims, claimToPB(&e.Claims[i]))
	}
	for i := range e.Barriers {
		b := &e.Barriers[i]
		s.Barriers = append(s.Barriers, &controlpb.Barrier{Key: b.Key[:], Index: b.Index, At: toNanos(b.At)})
	}
	for i := range e.Changes {
		c := &e.Changes[i]
		s.Changes = append(s.Changes, &controlpb.Change{Config: configToPB(c.AcceptedConfig), Digest: c.Digest[:]})
	}
	for i := range e.Refused {
		r := &e.Refused[i]
		s.Refused = append(s.Refused, &controlpb.RefusedChange{Digest: r.Digest[:], Conflict: conflictToPB(&r.Conflict)})
	}
	return marshal(s, math.MaxInt32)
}

// DecodeSnapshot reads the form that EncodeSnapshot returns. The limits must be those of
// the machine that was encoded.
func DecodeSnapshot(data []byte, limits state.Limits) (*state.Machine, error) {
	s := new(controlpb.Snapshot)
	if err := unmarshal("snapshot", data, maxSnapshot(limits), s); err != nil {
		return nil, err
	}
	c := checker{message: "snapshot"}
	e := state.Export{
		Applied: s.GetApplied(), Now: fromNanos(s.Now), Floor: s.GetFloor(),
		Config: c.config(s.GetConfig()), Leases: c.leases(s.GetLeases()),
	}
	for _, r := range s.GetClaims() {
		e.Claims = append(e.Claims, c.claim(r))
	}
	for _, b := range s.GetBarriers() {
		e.Barriers = append(e.Barriers, state.Barrier{Key: c.key(b.GetKey()), Index: b.GetIndex(), At: fromNanos(b.At)})
	}
	for _, change := range s.GetChanges() {
		e.Changes = append(e.Changes, state.Change{AcceptedConfig: c.config(change.GetConfig()), Digest: c.digest(change.GetDigest())})
	}
	for _, r := range s.GetRefused() {
		e.Refused = append(e.Refused, state.RefusedChange{Digest: c.digest(r.GetDigest()), Conflict: c.conflict(r.GetConflict())})
	}
	if err := c.error(); err != nil {
		return nil, err
	}
	return state.Import(e, limits)
}

func claimToPB(r *state.ClaimRecord) *controlpb.ClaimRecord {
	return &controlpb.ClaimRecord{
		Key: r.Key[:], Fingerprint: r.Fingerprint[:], Request: requestToPB(r.Request), Status: uint32(r.Status),
		Answer: answerToPB(r.Answer), FinishedAt: toNanos(r.FinishedAt), FinishedIndex: r.FinishedIndex,
	}
}

func (c *checker) claim(m *controlpb.ClaimRecord) state.ClaimRecord {
	r := state.ClaimRecord{
		Key: c.key(m.GetKey()), Fingerprint: c.fingerprint(m.GetFingerprint()), Request: c.request(m.GetRequest()),
		Status: c.claimStatus(m.GetStatus()), Answer: c.answer(m.GetAnswer()),
		FinishedAt: fromNanos(m.FinishedAt), FinishedIndex: m.GetFinishedIndex(),
	}
	r.Request.Instance = c.intern(r.Request.Instance)
	return r
}

// intern makes the claims of one instance share its name in memory.
func (c *checker) intern(id model.InstanceID) model.InstanceID {
	if c.instances == nil {
		c.instances = make(map[model.InstanceID]model.InstanceID)
	}
	if known, ok := c.instances[id]; ok {
		return known
	}
	c.instances[id] = id
	return id
}
