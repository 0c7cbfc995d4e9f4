package registry

import (
	"fmt"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Bounds of the fields of a record. Announcements may come from another writer, so each field is
// checked before the record can replace a known one.
const (
	maxNameBytes = 128
	maxModels    = 64
	maxPools     = 16
	// maxSlots is far above the concurrent requests of any server.
	maxSlots = 1 << 16
	// maxClockError is how far a start time may lie ahead of this instance's clock: the time of day
	// of an instance may jump by seconds.
	maxClockError = time.Minute
	// maxSequence bounds a first sequence, and maxSequenceStep the distance to the next one, which
	// covers all announcements that another instance may have received meanwhile.
	maxSequence     = 1 << 32
	maxSequenceStep = 1 << 20
)

// CheckRecord returns the first field of a record that is out of its range. Such a record must not be
// merged: a start time in the future, for one, would make the sound server at the same address count as
// gone. The incarnation of a record is the Unix time of the server's start in milliseconds; wall is the
// time of day.
func CheckRecord(wall time.Time, s *model.BackendServer) error {
	switch {
	case s.ID == "" || len(s.ID) > maxNameBytes:
		return invalid("id", "is missing or too long")
	case s.State > model.Gone:
		return invalid("state", "is unknown")
	case uint64(s.Incarnation) > uint64(max(wall.Add(maxClockError).UnixMilli(), 0)):
		return invalid("born", "lies in the future")
	case s.Sequence > maxSequence:
		return invalid("sequence", fmt.Sprintf("is above %d", uint64(maxSequence)))
	case s.State == model.Gone:
		// The record of a server that is gone may carry no other fields.
		return nil
	case s.Slots < 1 || s.Slots > maxSlots:
		return invalid("slots", "is out of range")
	case s.Domain == "" || len(s.Domain) > maxNameBytes:
		return invalid("failure domain", "is missing or too long")
	case len(s.Models) > maxModels || anyTooLong(s.Models):
		return invalid("models", "are too many or too long")
	case len(s.Pools) == 0 || len(s.Pools) > maxPools || anyTooLong(s.Pools):
		return invalid("service", "is missing or too long")
	}
	if reason := model.AddressFault(s.Address); reason != "" {
		return invalid("address", reason)
	}
	return nil
}

// Check checks a record like CheckRecord, and its sequence against the known record: one far ahead
// would mute all later announcements of the server.
func (r *Registry) Check(wall time.Time, s *model.BackendServer) error {
	if err := CheckRecord(wall, s); err != nil {
		return err
	}
	e := r.entries[s.ID]
	if e != nil && e.record.Incarnation == s.Incarnation && s.Sequence > e.record.Sequence+maxSequenceStep {
		return invalid("sequence", fmt.Sprintf("is more than %d above the last one", uint64(maxSequenceStep)))
	}
	return nil
}

func invalid(field, reason string) error {
	return &fault.InvalidAnnouncement{Field: field, Reason: reason}
}

func anyTooLong[T ~string](names []T) bool {
	for _, n := range names {
		if len(n) > maxNameBytes {
			return true
		}
	}
	return false
}
