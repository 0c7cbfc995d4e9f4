package member

import "briaryard/internal/model"

// Messages between instances.
type (
	// Records carries records that changed or were requested.
	Records struct {
		Instances []model.Instance
		Servers   []model.BackendServer
		// Whole means that these are all records of the sender, except gone ones.
		Whole bool
	}
	// Digest holds a hash for each bucket of records.
	Digest struct{ Buckets []uint64 }
	// Versions lists the versions of the sender's records in some buckets.
	Versions struct {
		Buckets []uint32
		Records []Version
	}
	// Want requests the records of the given members, or all records if Whole is set.
	Want struct {
		Records []Version
		Whole   bool
	}
)

// Send is an outgoing message to one instance, or to all connected ones if To is empty.
type Send struct {
	To   model.InstanceID
	Body any
}

// Change is a change of the state of a member, for the log.
type Change struct {
	Instance model.InstanceID
	// Server is set for backend servers.
	Server      model.BackendServerID
	Incarnation model.Incarnation
	State       model.MemberState
	Reason      string
}
