package port

import (
	"time"

	"briaryard/internal/decide/appointment"
	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/relay"
	"briaryard/internal/decide/roster"
	"briaryard/internal/decide/routing"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
	"briaryard/internal/ring"
)

// Names of the services of routed requests.
const (
	// RoutesName holds the configuration of routes.
	RoutesName = "routes"
	// RegistryName holds the records of backend servers.
	RegistryName = "registry"
	// RosterName holds the list of instances that accept requests.
	RosterName = "roster"
	// TopologyName maintains the connections to the core instances.
	TopologyName = "topology"
	// SchedulerName schedules the requests of the whole fleet. It runs on a core instance.
	SchedulerName = "scheduler"
	// AllocateName requests backend servers for the requests of this instance.
	AllocateName = "allocate"
	// RelayName manages the routed requests that this instance has accepted.
	RelayName = "relay"
	// HTTPBackendName calls backend servers over HTTP.
	HTTPBackendName = "backend.http"
	// BodiesName reserves memory for the bodies of callers' requests.
	BodiesName = "bodies"
	// QuarantineName finds the parts of prompts that crash servers.
	QuarantineName = "quarantine"
	// PresenceName publishes whether this instance accepts requests, and stops it gracefully.
	PresenceName = "presence"
	// RouteConfigCodecName and DialectName translate the formats of the platform.
	RouteConfigCodecName = "document.codec"
	DialectName          = "dialect"
)

// RouteConfigCodec decodes route configurations. It is implemented by the adapter of a platform.
type RouteConfigCodec interface {
	// DecodeRouteConfig decodes and checks a complete configuration. Its number is the revision.
	DecodeRouteConfig(content []byte) (*model.RouteConfig, error)
}

// RouteView is a route configuration that an instance may use, with the time AsOf at which it
// was last known to be the accepted one. It is immutable.
type RouteView struct {
	Table *routing.Table
	AsOf  time.Time
}

// Routes publishes the route configuration.
type Routes interface {
	// SubscribeViews registers a receiver of views. It is called during Provision. The revisions of
	// the views never decrease.
	SubscribeViews(sink func(RouteView))
}

// Topology publishes the core instances.
type Topology interface {
	// SubscribeCore registers a receiver of the core instances. It is called during Provision.
	SubscribeCore(sink func([]model.InstanceID))
}

// Registry holds the records of the backend servers.
type Registry interface {
	// Announce handles the announcement of a backend server. It calls reply once, after the record
	// has been queued on the connections to all other instances.
	Announce(s model.BackendServer, reply func(error)) error
	// Deregister handles a backend server's request to be removed; see registry.Registry.MarkGone.
	Deregister(id model.BackendServerID, incarnation model.Incarnation, reply func(error)) error
	// MarkLeaving records that an incarnation of a backend server has said in an answer that it leaves,
	// and passes that on to the core instances.
	MarkLeaving(id model.BackendServerID, incarnation model.Incarnation)
	// SubscribeServers registers a receiver of all records, which is called when one has changed.
	// It is called during Provision.
	SubscribeServers(sink func([]model.BackendServer))
	// SubscribeSources registers a receiver of the core instances that this instance follows. It is called
	// during Provision. A core instance follows none.
	SubscribeSources(sink func([]model.InstanceID))
}

// Quarantine finds the parts of prompts that crash the servers which begin to answer them. The instances
// share their evidence.
type Quarantine interface {
	// Observe takes what this instance has seen of a request with shared parts.
	Observe(s quarantine.Sighting)
	// SubscribeViews registers a receiver of the evidence. It is called during Provision.
	SubscribeViews(sink func(*quarantine.View))
}

// Roster publishes the instances that accept requests.
type Roster interface {
	// SetPresence sets the entry of this instance.
	SetPresence(e roster.Entry)
	// SubscribeInstances registers a receiver of the instances that accept requests. It is called
	// during Provision.
	SubscribeInstances(sink func(*roster.Lists))
}

// Allocation is a decision about a request of this instance.
type Allocation struct {
	schedule.Decision
	// LocalDecision is set if this instance made the decision without the dispatcher.
	LocalDecision bool
}

// Allocator requests backend servers.
type Allocator interface {
	// Submit requests a backend server; the decision is passed to the attached sink.
	Submit(w schedule.Request)
	// Withdraw cancels a request that has no decision yet.
	Withdraw(id model.RequestID)
	// Report reports the outcome of granted work.
	Report(r schedule.Report)
	// Notify passes on what a backend server has said about itself to this instance.
	Notify(n model.ServerNotice)
	// AttachDecisions sets the receiver of decisions. It is called during Provision. The sink
	// blocks while the receiver's ring is full.
	AttachDecisions(sink func(Allocation))
}

// BodyReservation asks for memory for a body, or for more of it.
type BodyReservation struct {
	// Attempt is the caller's id of the attempt. Host and Path select the route.
	Attempt, Host, Path string
	// Bytes are asked for now, Held are reserved for the body already.
	Bytes, Held int64
	// Answer receives the one answer. It has room for it.
	Answer *ring.Ring[BodyAnswer]
}

// BodyAnswer is the answer to a reservation.
type BodyAnswer struct {
	Granted bool
	// RetryAfter is the time after which a refused request should come again.
	RetryAfter time.Duration
}

// Bodies shares the memory of the process for the bodies of callers' requests.
type Bodies interface {
	// Reserve asks for memory. It returns an error, and gives no answer, if there is no room for the
	// question.
	Reserve(r BodyReservation) error
	// Release returns reserved bytes once the last copy of the body is gone.
	Release(bytes int64)
}

// RoutedSubmission is a request as submitted by a front end.
type RoutedSubmission struct {
	ID model.RequestID
	// Attempt is the caller's id of the attempt.
	Attempt string
	// Key is the caller's API key, or empty.
	Key string
	// Path is the path of the call's target, without the query.
	Path string
	Call model.HTTPCall
	// BodyBytes are reserved for the body. The relay releases them when the request has ended, unless
	// SubmitRouted returns an error.
	BodyBytes int64
	// Fingerprint identifies the request over several attempts of its caller.
	Fingerprint uint64
	// Timeout is how long the caller waits; zero if it sets no limit.
	Timeout time.Duration
	// Prompt, Output and Expected are numbers of tokens; see schedule.Request.
	Prompt, Output, Expected int
	Model                    string
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []model.PromptPart
	// Events receives the answer. The front end is its only consumer. If it is closed without a
	// final event, the answer is incomplete. The relay alone begins an answer; the call whose answer it
	// has accepted adds the data and the end.
	Events *ring.Ring[RoutedEvent]
}

// RoutedKind states what a RoutedEvent carries.
type RoutedKind uint8

// Kinds of routed events.
const (
	// RoutedHead carries the status and header of a backend server's answer.
	RoutedHead RoutedKind = iota
	// RoutedData carries a part of its body.
	RoutedData
	// RoutedEnd means that the answer is complete.
	RoutedEnd
	// RoutedWhole carries a complete answer in one event.
	RoutedWhole
	// RoutedRefused is the final answer if this instance answers instead of a backend server.
	RoutedRefused
)

// RoutedEvent is one event of an answer to a caller.
type RoutedEvent struct {
	Kind RoutedKind
	// Answer holds the status and header with RoutedHead, and also the body with RoutedWhole.
	Answer *model.HTTPAnswer
	Data   []byte
	Err    error
}

// Relay manages the routed requests that this instance has accepted.
type Relay interface {
	// NewRoutedID returns an id for the next submission.
	NewRoutedID() model.RequestID
	// SubmitRouted submits a request. It returns an error if the ring is full.
	SubmitRouted(s RoutedSubmission) error
	// CallerLeft reports that the caller of a submission has disconnected.
	CallerLeft(id model.RequestID)
	// SetStopTime sets the time on clock.Boot at which open requests end because the instance is
	// being stopped. Requests that may take longer are refused from now on.
	SetStopTime(at time.Time)
	// SetClosing sets whether new requests are refused.
	SetClosing(closing bool)
	// DrainRouted calls done once when no request is open.
	DrainRouted(done func())
}

// HTTPOutbound is a request to be sent to a backend server.
type HTTPOutbound struct {
	ID   model.RequestID
	Send int
	// Attempt is the caller's id of the attempt, which the answer repeats.
	Attempt string
	Server  model.BackendServer
	Team    model.TeamID
	Call    *model.HTTPCall
	// Parts are the parts of the prompt that other requests may share. Probe is set if the request is sent
	// although some of them are under quarantine.
	Parts []model.PromptPart
	Probe bool
	// Until is the deadline of the call on clock.Boot.
	Until time.Time
	// Stream is set if the answer may be an event stream.
	Stream bool
	// Resume is set if the answer resumes after LastEvent; its head is not forwarded.
	Resume    bool
	LastEvent string
	Events    *ring.Ring[RoutedEvent]
	// Accepted gets one item when the relay accepts the answer of this call, after CallBegan. Until then
	// the relay may still give the caller another answer, so the call writes nothing to Events.
	Accepted *ring.Ring[struct{}]
}

// HTTPBackend calls backend servers over HTTP.
type HTTPBackend interface {
	// OpenCall starts a call. Its call events are passed to the attached sink; the data of the answer is
	// written to the events of the submission once the answer is accepted.
	OpenCall(o HTTPOutbound)
	// CancelCall cancels a call. No further event follows.
	CancelCall(id model.RequestID, send int)
	// AttachCalls sets the receivers of call events and of notices. It is called during Provision. The
	// sinks block while the receiver's ring is full. The notice of an answer precedes the call event
	// and is passed on even if the call was cancelled.
	AttachCalls(events func(relay.CallEvent), notices func(model.ServerNotice))
}

// AnswerMetadata holds the control information in the header of an answer.
type AnswerMetadata struct {
	// Attempt is the id of the attempt that the answer repeats, or empty.
	Attempt string
	// NotRun is set if the server states that it did not run the request. Absent is set as well if
	// the reason is that it is not the intended server.
	NotRun bool
	Absent bool
	// ClaimsNotRun is set if the status claims that the request has not run. Only NotRun proves it.
	ClaimsNotRun bool
	// Leaving is set if the server states that it leaves.
	Leaving bool
	// HoldFor is how long the server wants no request from this instance; see model.ServerNotice.
	HoldFor        time.Duration
	InvalidHoldFor string
	// Limit is the number of requests a second that the server takes, or zero if it names none; see
	// model.ServerNotice.
	Limit        float64
	InvalidLimit string
}

// Dialect defines the header fields that a platform's backend servers use. It is implemented by the
// adapter of a platform.
type Dialect interface {
	// CallHeader returns the fields that a call adds to those of the caller.
	CallHeader(o *HTTPOutbound, left time.Duration) []model.HeaderField
	// ReadAnswer interprets the status and header of an answer.
	ReadAnswer(status int, header func(name string) string) AnswerMetadata
}

// Presence reports whether this instance accepts requests.
type Presence interface {
	// Ready reports whether callers should send requests to this instance.
	Ready() bool
	// StopEnd returns the time on clock.Boot at which the instance ends in any case. It is false if the
	// instance is not being stopped.
	StopEnd() (time.Time, bool)
	// Leave starts the shutdown: callers are directed to other instances, then new requests are
	// refused. It calls finished once, when no request is open or the time limit has passed.
	Leave(finished func())
}

// Messages about routed requests between instances. Messages to SchedulerName come from instances
// that accept requests, messages to AllocateName from the dispatcher.
type (
	// JoinMessage requests a session with the dispatcher.
	JoinMessage struct{ Session uint64 }
	// GrantedWorkMessage lists all granted work of the sender.
	GrantedWorkMessage struct {
		Session uint64
		Works   []schedule.Work
		// Appointments lists the appointments that the sender has handed out.
		Appointments []ReturnAppointment
	}
	// ReturnAppointment is an appointment with the duration until its time in place of the time.
	ReturnAppointment struct {
		appointment.Appointment
		In time.Duration
	}
	// SubmitMessage requests a backend server. Durations are sent in place of the times in Request.
	SubmitMessage struct {
		Session uint64
		Request schedule.Request
		// Waited is the time since the arrival; the others are the durations until StartTarget,
		// StartDeadline and Deadline.
		Waited, StartTargetIn, StartDeadlineIn, DeadlineIn time.Duration
		// Refused is what the sender has refused since its last SubmitMessage without asking.
		Refused []schedule.RefusedDemand
	}
	// WithdrawSubmitMessage cancels a SubmitMessage.
	WithdrawSubmitMessage struct {
		Session uint64
		ID      model.RequestID
	}
	// OutcomeMessage reports the outcome of granted work.
	OutcomeMessage struct {
		Session uint64
		Report  schedule.Report
	}
	// ServerNoticeMessage passes on what a backend server has said about itself to the sender.
	ServerNoticeMessage struct {
		Session uint64
		Notice  model.ServerNotice
	}
	// JoinedMessage accepts a session.
	JoinedMessage struct{ Session uint64 }
	// DecisionMessage carries a scheduling decision.
	DecisionMessage struct {
		Session  uint64
		Decision schedule.Decision
	}
	// DispatcherHeartbeatMessage is a heartbeat of the dispatcher.
	DispatcherHeartbeatMessage struct{ Session uint64 }
	// ServersMessage carries records of backend servers to RegistryName.
	ServersMessage struct{ Servers []model.BackendServer }
	// RecordsSubscriptionMessage begins or ends the sending of records from RegistryName of a core instance
	// to the sender. The first ones are all records.
	RecordsSubscriptionMessage struct{ On bool }
	// AnnouncementsMessage lists the latest announcements that the sender has received from
	// servers. It is sent to RegistryName of core instances.
	AnnouncementsMessage struct{ Servers []AnnouncementRef }
	// AnnouncementRef identifies an announcement.
	AnnouncementRef struct {
		ID          model.BackendServerID
		Incarnation model.Incarnation
		Sequence    uint64
	}
	// PresenceMessage carries the sender's roster entry to RosterName of core instances.
	PresenceMessage struct{ Entry roster.Entry }
	// InstancesMessage carries changes of the list of instances that accept requests to RosterName.
	InstancesMessage struct{ Changes roster.Changes }
	// PartRecordsMessage carries evidence against parts of prompts to QuarantineName. Follow begins and
	// Unfollow ends the sending of evidence by a core instance to the sender.
	PartRecordsMessage struct {
		Follow, Unfollow bool
		Records          []quarantine.RelativeRecord
	}
	// InstancesRequestMessage asks RosterName of a core instance for its whole list.
	InstancesRequestMessage struct{}
)
