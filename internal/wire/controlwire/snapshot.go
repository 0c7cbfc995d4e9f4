package controlwire

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/wire/controlpb"
)

// Upper bounds of the encoded sizes of the parts of a snapshot. Operators, change ids and the
// names in claims have at most maxText bytes.
const (
	snapshotBase     = 2 * MaxCommand
	snapshotClaim    = 4 * maxText
	snapshotBarrier  = 64
	snapshotChange   = 8 * maxText
	snapshotLeaseTab = maxLeases * 4 * maxText
	snapshotRollouts = state.MaxRollouts * (2*maxText + (state.MaxRejected+4)*model.MaxVersionBytes)
)

// maxSnapshot bounds the encoded size of a snapshot; protobuf allows no more than 2 GiB.
func maxSnapshot(l state.Limits) int {
	size := snapshotBase + snapshotLeaseTab + snapshotRollouts + l.TotalAnswerBytes +
		l.Claims*snapshotClaim + l.Barriers*snapshotBarrier + l.Changes*snapshotChange
	return min(size, math.MaxInt32)
}

// Field numbers of controlpb.Snapshot.
const (
	fieldApplied protowire.Number = iota + 1
	fieldNow
	fieldFloor
	fieldClaims
	fieldBarriers
	fieldConfig
	fieldChanges
	fieldRefused
	fieldLeases
	fieldTeams
	fieldRollouts
)

// snapshotWriter appends the fields of a controlpb.Snapshot one by one, so that the whole message
// is never in memory beside its encoding. Without a buffer it only computes the size.
type snapshotWriter struct {
	buffer []byte
	size   int
	err    error
	// teams lists the teams of the claims. A claim refers to its team by number instead of
	// repeating a name of up to 128 bytes. numbers starts at 1.
	teams   []model.TeamID
	numbers map[model.TeamID]uint32
}

func newSnapshotWriter(v *state.View) snapshotWriter {
	w := snapshotWriter{teams: v.Teams(), numbers: make(map[model.TeamID]uint32)}
	for i, team := range w.teams {
		w.numbers[team] = uint32(i) + 1
	}
	return w
}

// message appends one element of a repeated message field.
func (w *snapshotWriter) message(field protowire.Number, m proto.Message) {
	size := proto.Size(m)
	w.size += protowire.SizeTag(field) + protowire.SizeBytes(size)
	if w.buffer == nil || w.err != nil {
		return
	}
	w.buffer = protowire.AppendTag(w.buffer, field, protowire.BytesType)
	w.buffer = protowire.AppendVarint(w.buffer, uint64(size))
	w.buffer, w.err = proto.MarshalOptions{Deterministic: true, UseCachedSize: true}.MarshalAppend(w.buffer, m)
}

// write appends the whole state.
func (w *snapshotWriter) write(v *state.View) {
	head := &controlpb.Snapshot{Applied: v.Applied, Now: toNanos(v.Now), Floor: v.Floor, Config: configToPB(v.Config)}
	for _, team := range w.teams {
		head.Teams = append(head.Teams, string(team))
	}
	w.size += proto.Size(head)
	if w.buffer != nil {
		w.buffer, w.err = proto.MarshalOptions{Deterministic: true}.MarshalAppend(w.buffer, head)
	}
	for r := range v.Claims() {
		w.message(fieldClaims, claimToPB(r, w.numbers[r.Team]))
	}
	for _, b := range v.Barriers() {
		w.message(fieldBarriers, &controlpb.Barrier{Key: b.Key[:], Index: b.Index, At: toNanos(b.At)})
	}
	for i := range v.Changes {
		c := &v.Changes[i]
		w.message(fieldChanges, &controlpb.Change{Config: configToPB(c.AcceptedConfig), Digest: c.Digest[:]})
	}
	for i := range v.Refused {
		r := &v.Refused[i]
		w.message(fieldRefused, &controlpb.RefusedChange{Digest: r.Digest[:], Conflict: conflictToPB(&r.Conflict)})
	}
	for _, l := range v.Leases() {
		w.message(fieldLeases, leaseToPB(l))
	}
	for i := range v.Rollouts {
		w.message(fieldRollouts, rolloutToPB(&v.Rollouts[i]))
	}
}

// EncodeSnapshot encodes the whole state as the content of a snapshot file. It traverses the state
// twice, first to compute the size, so that the result is the only large allocation.
func EncodeSnapshot(v *state.View) ([]byte, error) {
	w := newSnapshotWriter(v)
	w.write(v)
	if w.size > math.MaxInt32 {
		return nil, &EncodeError{Value: v, Reason: "larger than the limit"}
	}
	w.buffer = make([]byte, 0, w.size)
	w.write(v)
	if w.err != nil {
		return nil, &EncodeError{Value: v, Reason: w.err.Error()}
	}
	return w.buffer, nil
}

// DecodeSnapshot decodes a snapshot that EncodeSnapshot has encoded. The limits must be those of
// the machine that was encoded. Claims and barriers, which make up most of a snapshot, are
// decoded one by one.
func DecodeSnapshot(data []byte, limits state.Limits) (*state.Machine, error) {
	if len(data) > maxSnapshot(limits) {
		return nil, &DecodeError{Message: "snapshot", Reason: "larger than the limit"}
	}
	c := checker{message: "snapshot"}
	im, e := state.NewImporter(limits), state.Export{}
	for len(data) > 0 && c.err == nil {
		field, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return nil, &DecodeError{Message: "snapshot", Reason: protowire.ParseError(n).Error()}
		}
		size := protowire.ConsumeFieldValue(field, kind, data[n:])
		if size < 0 {
			return nil, &DecodeError{Message: "snapshot", Reason: protowire.ParseError(size).Error()}
		}
		c.snapshotField(im, &e, field, kind, data[:n+size], data[n:n+size])
		data = data[n+size:]
	}
	if err := c.error(); err != nil {
		return nil, err
	}
	return im.Finish(e)
}

// snapshotField decodes one field. value is its encoded value, tagged the same with the tag.
func (c *checker) snapshotField(im *state.Importer, e *state.Export, field protowire.Number, kind protowire.Type, tagged, value []byte) {
	if kind == protowire.BytesType {
		value, _ = protowire.ConsumeBytes(value)
		if field == fieldClaims {
			m := new(controlpb.ClaimRecord)
			c.unmarshal(value, m)
			im.Claim(c.claim(m))
			return
		}
		if field == fieldBarriers {
			m := new(controlpb.Barrier)
			c.unmarshal(value, m)
			im.Barrier(state.Barrier{Key: c.key(m.GetKey()), Index: m.GetIndex(), At: fromNanos(m.At)})
			return
		}
	}
	s := new(controlpb.Snapshot)
	c.unmarshal(tagged, s)
	switch field { //nolint:exhaustive // the remaining fields are lists and are appended below
	case fieldApplied:
		e.Applied = s.GetApplied()
	case fieldNow:
		e.Now = fromNanos(s.Now)
	case fieldFloor:
		e.Floor = s.GetFloor()
	case fieldConfig:
		e.Config = c.config(s.GetConfig())
	case fieldTeams:
		for _, team := range s.GetTeams() {
			c.teams = append(c.teams, c.team(team))
		}
	case fieldLeases:
		if len(e.Leases) >= maxLeases {
			c.fail("too many leases")
		}
		e.Leases = append(e.Leases, c.leases(s.GetLeases())...)
	case fieldRollouts:
		if len(e.Rollouts) >= state.MaxRollouts {
			c.fail("too many roll-outs")
		}
		e.Rollouts = append(e.Rollouts, c.rollouts(s.GetRollouts())...)
	}
	for _, change := range s.GetChanges() {
		e.Changes = append(e.Changes, state.Change{AcceptedConfig: c.config(change.GetConfig()), Digest: c.digest(change.GetDigest())})
	}
	for _, r := range s.GetRefused() {
		e.Refused = append(e.Refused, state.RefusedChange{Digest: c.digest(r.GetDigest()), Conflict: c.conflict(r.GetConflict())})
	}
}

func (c *checker) unmarshal(data []byte, m proto.Message) {
	if err := proto.Unmarshal(data, m); err != nil {
		c.fail(err.Error())
	}
}

func claimToPB(r *state.ClaimRecord, team uint32) *controlpb.ClaimRecord {
	return &controlpb.ClaimRecord{
		Key: r.Key[:], Fingerprint: r.Fingerprint[:], Request: requestToPB(r.Request), Status: uint32(r.Status),
		Answer: answerToPB(r.Answer), FinishedAt: toNanos(r.FinishedAt), FinishedIndex: r.FinishedIndex, Team: team,
	}
}

func (c *checker) claim(m *controlpb.ClaimRecord) state.ClaimRecord {
	r := state.ClaimRecord{
		Key: c.key(m.GetKey()), Fingerprint: c.fingerprint(m.GetFingerprint()), Request: c.request(m.GetRequest()),
		Status: c.claimStatus(m.GetStatus()), Answer: c.answer(m.GetAnswer()),
		FinishedAt: fromNanos(m.FinishedAt), FinishedIndex: m.GetFinishedIndex(),
	}
	r.Request.Instance = c.intern(r.Request.Instance)
	if n := int(m.GetTeam()); n > len(c.teams) {
		c.fail("claim of an unknown team")
	} else if n > 0 {
		r.Team = c.teams[n-1]
	}
	return r
}

// intern returns one shared copy of an instance id, so that claims do not hold a copy each.
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
