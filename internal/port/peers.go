package port

import "briaryard/internal/model"

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
