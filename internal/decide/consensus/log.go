package consensus

import "slices"

// raftLog is the log since the last snapshot, in memory.
type raftLog struct {
	// snapshot is the newest snapshot; its index is at or after base.
	snapshot Snapshot
	// base and baseTerm are the index and the term of the entry before entries[0].
	base     uint64
	baseTerm uint64
	entries  []Entry
	commit   uint64
	// delivered is the index of the last entry that takeCommitted returned or a snapshot covers.
	delivered uint64
	// baseMembers is the membership at base; membershipIndexes lists the indexes of the
	// membership entries after it.
	baseMembers       Membership
	membershipIndexes []uint64
}

func newLog(s Snapshot, entries []Entry) raftLog {
	l := raftLog{snapshot: s, base: s.Index, baseTerm: s.Term, baseMembers: s.Members, commit: s.Index, delivered: s.Index}
	for _, e := range entries {
		if e.Index == l.last()+1 {
			l.append(e)
		}
	}
	return l
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 { t, _ := l.term(l.last()); return t }

// term returns the term of the entry at index, if it is still known.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *raftLog) entry(index uint64) Entry { return l.entries[index-l.base-1] }

func (l *raftLog) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryMembers {
		l.membershipIndexes = append(l.membershipIndexes, e.Index)
	}
}

// truncate removes the entries after index.
func (l *raftLog) truncate(index uint64) {
	// The slice may be shared with messages that Output has already returned.
	l.entries = slices.Clone(l.entries[:index-l.base])
	for len(l.membershipIndexes) > 0 && l.membershipIndexes[len(l.membershipIndexes)-1] > index {
		l.membershipIndexes = l.membershipIndexes[:len(l.membershipIndexes)-1]
	}
}

// members returns the membership of the newest membership entry, committed or not.
func (l *raftLog) members() Membership {
	if n := len(l.membershipIndexes); n > 0 {
		return l.entry(l.membershipIndexes[n-1]).Members
	}
	return l.baseMembers
}

// membersAt returns the membership in force at index.
func (l *raftLog) membersAt(index uint64) Membership {
	for _, i := range slices.Backward(l.membershipIndexes) {
		if i <= index {
			return l.entry(i).Members
		}
	}
	return l.baseMembers
}

// upToDate reports whether a log that ends with the given entry is at least as up to date as l.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// slice returns the entries from an index on, up to a number of bytes but at least one entry.
func (l *raftLog) slice(from uint64, limit int) []Entry {
	if from > l.last() {
		return nil
	}
	rest := l.entries[from-l.base-1:]
	size, n := 0, 0
	for n < len(rest) {
		size += len(rest[n].Data) + 32
		if n > 0 && size > limit {
			break
		}
		n++
	}
	return rest[:n:n]
}

// takeCommitted returns the committed entries that it has not returned before.
func (l *raftLog) takeCommitted() []Entry {
	if l.commit <= l.delivered {
		return nil
	}
	out := slices.Clone(l.entries[l.delivered-l.base : l.commit-l.base])
	l.delivered = l.commit
	return out
}

// compact sets the newest snapshot and drops the entries that it covers, except for the last keep
// of them.
func (l *raftLog) compact(s Snapshot, keep uint64) {
	l.snapshot = s
	if s.Index <= l.base+keep {
		return
	}
	base := s.Index - keep
	term, _ := l.term(base)
	l.baseMembers = l.membersAt(base)
	l.membershipIndexes = slices.DeleteFunc(slices.Clone(l.membershipIndexes), func(i uint64) bool { return i <= base })
	l.entries = slices.Clone(l.entries[base-l.base:])
	l.base, l.baseTerm = base, term
}
