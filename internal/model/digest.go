package model

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// RequestDigest is an order-independent hash of a set of waiting and granted requests. It is zero
// for an empty set.
type RequestDigest uint64

// Add adds a request to the set. A granted request hashes differently from a waiting one.
func (d *RequestDigest) Add(id RequestID, granted bool) {
	buf := make([]byte, 0, 96)
	buf = append(buf, id.Instance...)
	buf = append(buf, 0)
	buf = binary.AppendUvarint(buf, uint64(id.Incarnation))
	buf = binary.AppendUvarint(buf, id.Seq)
	if granted {
		buf = append(buf, 1)
	}
	*d ^= RequestDigest(xxhash.Sum64(buf))
}
