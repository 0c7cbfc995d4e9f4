package consensuswire

import (
	"google.golang.org/protobuf/proto"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/model"
	"briaryard/internal/wire/consensuspb"
)

// Identity is the content of the identity file of a data folder.
type Identity struct {
	Instance model.InstanceID
	Folder   uint64
	// Boots counts the starts of an instance with the folder.
	Boots uint64
}

// EncodeIdentity encodes the content of the identity file.
func EncodeIdentity(id Identity) ([]byte, error) {
	return proto.Marshal(&consensuspb.Identity{Instance: string(id.Instance), Folder: id.Folder, Boots: id.Boots})
}

// DecodeIdentity decodes the content of the identity file.
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

// EncodeBatch encodes a batch as the content of one frame of the log. The frame holds the index,
// term and members of a snapshot, but not its data.
func EncodeBatch(b *consensus.Batch) ([]byte, error) {
	p := &consensuspb.Batch{ResetLog: b.Reset, Entries: encodeEntries(b.Entries)}
	if h := b.Hard; h != nil {
		p.Hard = &consensuspb.HardState{Group: h.Group, Term: h.Term, Vote: encodeMember(h.Vote)}
	}
	if b.Snapshot != nil {
		s := *b.Snapshot
		s.Data = nil
		p.Snapshot = encodeSnapshot(s)
		if len(b.Snapshot.Data) > 0 {
			p.SnapshotIndex = s.Index
		}
	}
	return proto.Marshal(p)
}

// DecodeBatch decodes a frame. hasData reports whether a separate file holds the snapshot's data.
func DecodeBatch(data []byte) (b *consensus.Batch, hasData bool, err error) {
	var p consensuspb.Batch
	if err := proto.Unmarshal(data, &p); err != nil {
		return nil, false, &MalformedError{Reason: err.Error()}
	}
	b = &consensus.Batch{Reset: p.GetResetLog()}
	if b.Entries, err = decodeEntries(p.GetEntries()); err != nil {
		return nil, false, err
	}
	if h := p.GetHard(); h != nil {
		b.Hard = &consensus.HardState{Group: h.GetGroup(), Term: h.GetTerm(), Vote: decodeMember(h.GetVote())}
	}
	if s := p.GetSnapshot(); s != nil {
		snapshot := decodeSnapshot(s)
		b.Snapshot = &snapshot
	}
	return b, p.GetSnapshotIndex() > 0, nil
}
