package port

import (
	"time"

	"briaryard/internal/model"
)

// Names of the dispatch services.
const (
	// DispatchName is the service that routes messages between the entry service and the
	// dispatchers of the pools.
	DispatchName = "dispatch"
	// DispatcherName is the service that runs the pools whose lease this instance holds.
	DispatcherName = "dispatcher"
)

// Dispatch sends messages to the dispatcher of each pool, wherever it runs.
type Dispatch interface {
	// Register adds a waiting request to the queue of its pool.
	Register(d model.Descriptor)
	// Withdraw removes a waiting request.
	Withdraw(pool model.PoolID, id model.RequestID)
	// Report reports the progress of a granted request to the dispatcher.
	Report(p model.Progress)
	// Attach sets the receiver of dispatch events. It is called during Provision. The sink
	// does not block; it returns ring.FullError when there is no room.
	Attach(sink func(DispatchEvent) error)
	// AttachState sets the receiver of a dispatcher's requests for the waiting and outstanding
	// requests of the entry service. It replies with Resync, or not at all if the request sets
	// Compare and the digests are equal.
	AttachState(request func(StateRequest) error)
	// Resync replies to a StateRequest.
	Resync(s EntryState)
}

// EntryState lists the requests of one instance for a pool. A new dispatcher rebuilds its state
// from it.
type EntryState struct {
	Pool model.PoolID
	// Epoch and Sequence identify the last grant that the instance received.
	Epoch       model.Epoch
	Sequence    uint64
	Waiting     []model.Descriptor
	Outstanding []Outstanding
}

// Digest returns the digest of the state's requests.
func (s *EntryState) Digest() model.RequestDigest {
	var d model.RequestDigest
	for i := range s.Waiting {
		d.Add(s.Waiting[i].ID, false)
	}
	for i := range s.Outstanding {
		d.Add(s.Outstanding[i].Grant.Request, true)
	}
	return d
}

// Outstanding is a granted request that has not ended.
type Outstanding struct {
	Grant      model.Grant
	Descriptor model.Descriptor
}

// DispatchKind states what a dispatcher decided.
type DispatchKind uint8

// Kinds of dispatch events.
const (
	// DispatchGranted names the backend server for a request.
	DispatchGranted DispatchKind = iota
	// DispatchEvicted removes a request from the queue; Reason states why.
	DispatchEvicted
	// DispatchDuplicate means that another attempt with the same key has ended.
	DispatchDuplicate
)

// EvictReason states why a request was removed from the queue without a grant.
type EvictReason uint8

// Reasons for an eviction.
const (
	EvictShed EvictReason = iota
	EvictDeadline
	EvictNoServer
)

// DispatchEvent is a dispatcher's decision about one request.
type DispatchEvent struct {
	Kind DispatchKind
	// Sequence numbers the grants of an epoch to one instance, from 1.
	Sequence uint64
	Grant    model.Grant
	ID       model.RequestID
	Pool     model.PoolID
	Epoch    model.Epoch
	Reason   EvictReason
	// Tier and Deadline describe an evicted request.
	Tier     model.Tier
	Deadline time.Time
}
