package port

import (
	"time"

	"briaryard/internal/model"
)

// Names of the dispatch services.
const (
	// DispatchName is the router from the entry service to the pools' dispatchers.
	DispatchName = "dispatch"
	// DispatcherName is the service that runs the pools whose lease this instance holds.
	DispatcherName = "dispatcher"
)

// Dispatch reaches the dispatcher of each pool, wherever it runs.
type Dispatch interface {
	// Register adds a waiting request to its pool's order.
	Register(d model.Descriptor)
	// Withdraw removes a waiting request.
	Withdraw(pool model.PoolID, id model.RequestID)
	// Report tells the dispatcher about a granted request.
	Report(p model.Progress)
	// Attach sets the receiver of dispatch events. It is called during Provision. The sink
	// does not block; it returns ring.FullError when there is no room.
	Attach(sink func(DispatchEvent) error)
	// AttachState sets the source of the entry's waiting and outstanding requests, which
	// a dispatcher asks for. The answer comes through Resync; there is none when the request
	// compares and the digests are equal.
	AttachState(request func(StateRequest) error)
	// Resync answers a request for state.
	Resync(s EntryState)
}

// EntryState lists one instance's requests of a pool for a new dispatcher.
type EntryState struct {
	Pool model.PoolID
	// Epoch and Sequence name the last grant that the instance received.
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
	// DispatchEvicted removes a request from the order; Reason says why.
	DispatchEvicted
	// DispatchDuplicate means that another attempt with the same key has ended.
	DispatchDuplicate
)

// EvictReason states why a request left the order without a grant.
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
