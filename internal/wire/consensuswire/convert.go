package consensuswire

import (
	"briaryard/internal/decide/consensus"
	"briaryard/internal/model"
	"briaryard/internal/wire/consensuspb"
)

func encodeMember(m consensus.Member) *consensuspb.Member {
	if m.IsZero() {
		return nil
	}
	return &consensuspb.Member{Instance: string(m.Instance), Folder: m.Folder}
}

func decodeMember(m *consensuspb.Member) consensus.Member {
	return consensus.Member{Instance: model.InstanceID(m.GetInstance()), Folder: m.GetFolder()}
}

func encodeBoot(b consensus.Boot) *consensuspb.Boot {
	if b == (consensus.Boot{}) {
		return nil
	}
	return &consensuspb.Boot{Counter: b.Counter, Nonce: b.Nonce}
}

func decodeBoot(b *consensuspb.Boot) consensus.Boot {
	return consensus.Boot{Counter: b.GetCounter(), Nonce: b.GetNonce()}
}

func encodeMembers(s consensus.Membership) []*consensuspb.MemberRecord {
	var out []*consensuspb.MemberRecord
	for _, r := range s.Members {
		out = append(out, &consensuspb.MemberRecord{
			Member: encodeMember(r.Member), Learner: r.Learner, Boot: encodeBoot(r.Boot), BootIndex: r.BootIndex,
		})
	}
	return out
}

func decodeMembers(records []*consensuspb.MemberRecord) consensus.Membership {
	var s consensus.Membership
	for _, r := range records {
		s.Members = append(s.Members, consensus.MemberRecord{
			Member: decodeMember(r.GetMember()), Learner: r.GetLearner(), Boot: decodeBoot(r.GetBoot()), BootIndex: r.GetBootIndex(),
		})
	}
	return s
}

func encodeEntries(entries []consensus.Entry) []*consensuspb.Entry {
	out := make([]*consensuspb.Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, &consensuspb.Entry{
			Index: e.Index, Term: e.Term, At: e.At, Kind: uint32(e.Kind), Data: e.Data, Members: encodeMembers(e.Members),
		})
	}
	return out
}

// decodeEntries checks that the entries have consecutive indexes and that their terms do not
// decrease, on which the log relies.
func decodeEntries(entries []*consensuspb.Entry) ([]consensus.Entry, error) {
	var out []consensus.Entry
	for i, e := range entries {
		if e.GetKind() > uint32(consensus.EntryMembers) {
			return nil, &MalformedError{Reason: "unknown kind of entry"}
		}
		if i > 0 && (e.GetIndex() != out[i-1].Index+1 || e.GetTerm() < out[i-1].Term) {
			return nil, &MalformedError{Reason: "entries are out of sequence"}
		}
		out = append(out, consensus.Entry{
			Index: e.GetIndex(), Term: e.GetTerm(), At: e.GetAt(), Kind: consensus.EntryKind(e.GetKind()),
			Data: e.GetData(), Members: decodeMembers(e.GetMembers()),
		})
	}
	return out, nil
}

func encodeSnapshot(s consensus.Snapshot) *consensuspb.Snapshot {
	return &consensuspb.Snapshot{Index: s.Index, Term: s.Term, Members: encodeMembers(s.Members), Data: s.Data}
}

func decodeSnapshot(s *consensuspb.Snapshot) consensus.Snapshot {
	return consensus.Snapshot{Index: s.GetIndex(), Term: s.GetTerm(), Members: decodeMembers(s.GetMembers()), Data: s.GetData()}
}
