package member

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"briaryard/internal/model"
)

// Version identifies the content of a record and orders the records of one member.
type Version struct {
	ID string
	// Server distinguishes backend servers from instances.
	Server      bool
	Incarnation model.Incarnation
	Sequence    uint64
	State       model.MemberState
	Home        model.InstanceID
}

// finality ranks the states of one incarnation. Alive and suspect have the same rank, because a
// member may alternate between them.
func finality(s model.MemberState) int {
	switch s {
	case model.Leaving:
		return 1
	case model.Gone:
		return 2
	case model.Alive, model.Suspect:
	}
	return 0
}

// compare orders two versions of one record. The home is the tie-breaker between two instances
// that adopted a backend server at the same time.
func (v Version) compare(o Version) int {
	return cmp.Or(
		cmp.Compare(v.Incarnation, o.Incarnation),
		cmp.Compare(finality(v.State), finality(o.State)),
		cmp.Compare(v.Sequence, o.Sequence),
		cmp.Compare(v.Home, o.Home),
	)
}

func serverVersion(s model.BackendServer) Version {
	return Version{
		ID: string(s.ID), Server: true, Incarnation: s.Incarnation,
		Sequence: s.Sequence, State: s.State, Home: s.Home,
	}
}

func instanceVersion(i model.Instance) Version {
	return Version{ID: string(i.ID), Incarnation: i.Incarnation, Sequence: i.Sequence, State: i.State}
}

// BucketCount is the number of hashes in a digest. With 980 records at the design size, a
// bucket that differs lists about 15 versions.
const BucketCount = 64

func (v Version) bucket() uint32 { return uint32(xxhash.Sum64String(v.ID) % BucketCount) }

func (v Version) hash() uint64 {
	buf := make([]byte, 0, 96)
	buf = append(buf, v.ID...)
	buf = append(buf, 0, byte(v.State))
	if v.Server {
		buf = append(buf, 1)
	}
	buf = binary.AppendUvarint(buf, uint64(v.Incarnation))
	buf = binary.AppendUvarint(buf, v.Sequence)
	buf = append(buf, v.Home...)
	return xxhash.Sum64(buf)
}
