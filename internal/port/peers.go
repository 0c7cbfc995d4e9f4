package port

import (
	"time"

	"briaryard/internal/model"
)

// PeersName is the name of the service that connects instances.
const PeersName = "peers"

// Codec converts the messages of one service to bytes and back. Decode checks its input,
// which comes from the network.
type Codec interface {
	Encode(body any) ([]byte, error)
	Decode(data []byte) (any, error)
}

// PeerMessage is a message from an instance, possibly this one.
type PeerMessage struct {
	From        model.InstanceID
	Incarnation model.Incarnation
	Body        any
}

// PeerState is the state of the connection to an instance.
type PeerState uint8

// States of a connection.
const (
	// PeerUp means that a connection was opened.
	PeerUp PeerState = iota
	// PeerSilent means that no data has arrived for a while on an open connection.
	PeerSilent
	// PeerHeard means that a connection that was silent carries data again.
	PeerHeard
	// PeerDown means that there is no connection.
	PeerDown
	// PeerReset follows PeerUp when the sequence numbers of messages restarted with the
	// connection: messages that were sent earlier, in either direction, may be lost. Messages
	// that are sent after this status arrive after all earlier ones that were not lost.
	PeerReset
)

// PeerStatus reports a change of the connection to an instance.
type PeerStatus struct {
	// Instance is the other instance's own record of itself; its sequence is zero.
	Instance model.Instance
	State    PeerState
	// LastHeard is when data last arrived from the instance.
	LastHeard time.Time
}

// Peers sends messages between instances. Messages to one instance arrive in order and at
// most once; after a broken connection they are resent until the receiver acknowledges
// them, its incarnation changes, or the message limit is reached.
type Peers interface {
	// Self returns this instance's id and incarnation.
	Self() (model.InstanceID, model.Incarnation)
	// Handle sets the codec and the receiver of a service's messages. It is called during
	// Provision. The sink puts the message in the service's ring.
	Handle(service string, codec Codec, sink func(PeerMessage) error)
	// Send queues a message. A message to this instance is delivered without encoding.
	Send(to model.InstanceID, service string, body any) error
}

// PeerLinks is the part of the peers service that the membership service controls.
type PeerLinks interface {
	// SetInstances sets the instances to which connections are maintained. It replaces the
	// previous list and never blocks.
	SetInstances(list []model.Instance)
	// SubscribeStatus registers a receiver of connection changes. It is called during
	// Provision. The sink does not block; it returns ring.FullError when there is no room.
	SubscribeStatus(sink func(PeerStatus) error)
	// Alone reports whether the settings name no other instance.
	Alone() bool
}
