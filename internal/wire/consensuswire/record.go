package consensuswire

import (
	"google.golang.org/protobuf/proto"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/model"
	"briaryard/internal/wire/consensuspb"
)

// Identity is what a data folder says about itself.
type Identity struct {
	Instance model.InstanceID
	Folder   uint64
	// Boots counts the starts of the folder.
	Boots uint64
}

// EncodeIdentity returns the content of the identity file.
func EncodeIdentity(id Identity) ([]byte, error) {
	return proto.Marshal(&consensuspb.Identity{Instance: string(id.Instance), Folder: id.Folder, Boots: id.Boots})
}

// DecodeIdentity reads the content of the identity file.
func DecodeIdentity(data []byte) (Identity, error) {
	var p consensuspb.Identity
	if err := proto.Unmarshal(data, &p); err != nil {
		return Identity{}, &MalformedError{Reason: err.Error()}
	}
	if p.GetInstance() == "" || p.GetFolder() == 0 {
		return Identity{}, &MalformedError{Reason: "identity without instance or folder"}
	}
	return Identity{Instance: model.InstanceID(p.GetInstance()), Folder: p.GetFolder(), Boots: p.GetBoots()}, nil
}

// EncodeBatch returns the content of one frame of the log. The data of a snapshot is not part
// of it; the frame only names the snapshot's index, term and members.
func EncodeBatch(b *consensus.Batch) ([]byte, error) {
	p := &consensuspb.Batch{ResetLog: b.Reset, Entries: entriesOut(b.Entries)}
	if h := b.Hard; h != nil {
		p.Hard = &consensuspb.HardState{Group: h.Group, Term: h.Term, Vote: memberOut(h.Vote)}
	}
	if b.Snapshot != nil {
		s := *b.Snapshot
		s.Data = nil
		p.Snapshot = snapshotOut(s)
		if len(b.Snapshot.Data) > 0 {
			p.SnapshotIndex = s.Index
		}
	}
	return proto.Marshal(p)
}

// DecodeBatch reads a frame. hasData reports whether the snapshot's data is in its own file.
func DecodeBatch(data []byte) (b *consensus.Batch, hasData bool, err error) {
	var p consensuspb.Batch
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, false, &MalformedError{Reason: err.Error()}
	}
	b = &consensus.Batch{Reset: p.GetResetLog()}
	if b.Entries, err = entriesIn(p.GetEntries()); err != nil {
		return nil, false, err
	}
	if h := p.GetHard(); h != nil {
		b.Hard = &consensus.HardState{Group: h.GetGroup(), Term: h.GetTerm(), Vote: memberIn(h.GetVote())}
	}
	if s := p.GetSnapshot(); s != nil {
		snapshot := snapshotIn(s)
		b.Snapshot = &snapshot
	}
	return b, p.GetSnapshotIndex() > 0, nil
}
