package port

import (
	"briaryard/internal/model"
)

// Messages from instances to the dispatcher of a pool, sent to DispatcherName.
type (
	// RegisterMessage adds a waiting request.
	RegisterMessage struct{ Descriptor model.Descriptor }
	// WithdrawMessage removes a waiting request.
	WithdrawMessage struct {
		Pool    model.PoolID
		Request model.RequestID
	}
	// ReportMessage reports the progress of a granted request.
	ReportMessage struct{ Progress model.Progress }
	// StateMessage answers a StateRequest.
	StateMessage struct{ State EntryState }
	// ServerReportMessage carries a backend server's load report and cache events from its home.
	ServerReportMessage struct{ Report ServerReport }
)

// Messages from a dispatcher to instances, sent to DispatchName.
type (
	// EventMessage carries a decision about a request.
	EventMessage struct{ Event DispatchEvent }
	// StateRequest asks for the instance's requests of a pool.
	StateRequest struct {
		Pool  model.PoolID
		Epoch model.Epoch
		// Sequence is the number of the last grant that was sent to the instance before this
		// message. Grants up to it that the instance has not received are lost.
		Sequence uint64
		// Compare requests a reply only if the instance's digest differs from Digest.
		Compare bool
		Digest  model.RequestDigest
	}
)

// LeaseName returns the name of a pool's dispatcher lease.
func LeaseName(pool model.PoolID) string { return leasePrefix + string(pool) }

// LeaseNames returns the names of the leases that should have a holder: one for each pool,
// and that of placement if it is declared.
func LeaseNames(c *model.Config) []string {
	names := make([]string, 0, len(c.Pools)+1)
	for id := range c.Pools {
		names = append(names, LeaseName(id))
	}
	if c.Placement != nil {
		names = append(names, PlacementLease)
	}
	return names
}

const leasePrefix = "dispatcher/"

// LeasePool returns the pool of a dispatcher lease.
func LeasePool(name string) (model.PoolID, bool) {
	if len(name) <= len(leasePrefix) || name[:len(leasePrefix)] != leasePrefix {
		return "", false
	}
	return model.PoolID(name[len(leasePrefix):]), true
}
