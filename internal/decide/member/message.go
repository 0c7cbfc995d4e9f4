package member

import "briaryard/internal/model"

// Messages between instances.
type (
	// Records carries records that changed or that were asked for.
	Records struct {
		Instances []model.Instance
		Servers   []model.BackendServer
		// Whole means that these are all records of the sender.
		Whole bool
	}
	// Digest holds a hash for each bucket of records.
	Digest struct{ Buckets []uint64 }
	// Versions lists the versions of the sender's records in some buckets.
	Versions struct {
		Buckets []uint32
		Records []Version
	}
	// Want asks for records, or for all of them.
	Want struct {
		Records []Version
		Whole   bool
	}
)

// Send is a message to one instance, or to all connected ones if To is empty.
type Send struct {
	To   model.InstanceID
	Body any
}

// Change is a change of state for the log.
type Change struct {
	Instance model.InstanceID
	// Server is set for backend servers.
	Server      model.BackendServerID
	Incarnation model.Incarnation
	State       model.MemberState
	Reason      string
}
