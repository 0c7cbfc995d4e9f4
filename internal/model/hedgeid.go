package model

// hedgeBit marks the id under which the second call of a hedged request is granted. Sequence numbers count
// from 1 and never reach it.
const hedgeBit = 1 << 63

// Hedge returns the id under which the second call of the request is granted.
func (id RequestID) Hedge() RequestID {
	id.Seq |= hedgeBit
	return id
}

// IsHedge reports whether the id is that of the second call of a hedged request.
func (id RequestID) IsHedge() bool { return id.Seq&hedgeBit != 0 }

// First returns the id of the request and of its first call.
func (id RequestID) First() RequestID {
	id.Seq &^= hedgeBit
	return id
}
