package port

import "briaryard/internal/model"

// MembersName is the name of the membership service.
const MembersName = "members"

// Announcement is a backend server's announcement or heartbeat.
type Announcement struct {
	Server model.BackendServer
	Load   *model.LoadReport
	Cache  []model.CacheEvent
	// Reply, if set, receives the outcome: nil or a typed error.
	Reply func(error)
}

// ServerReport is the load report and cache events that a backend server sent to its home instance.
type ServerReport struct {
	// Pools are the pools that the server serves.
	Pools []model.PoolID
	Load  *model.LoadReport
	Cache []model.CacheEvent
}

// Members maintains the view of instances and backend servers.
type Members interface {
	// Announce handles an announcement or heartbeat of a backend server.
	Announce(a Announcement) error
	// Subscribe registers a receiver of new views. It is called during Provision.
	Subscribe(sink func(*model.View))
	// SubscribeReports registers a receiver of load reports and cache events that arrive
	// at this instance. It is called during Provision.
	SubscribeReports(sink func(ServerReport))
	// SetSelf changes this instance's own record.
	SetSelf(state model.MemberState, withdrawn bool)
}
