// Package peers is the service that connects this instance to the others.
//
// The duty "peers" owns the table of links and decides which connection a link uses. Each
// link has one duty that sends and one that receives. A link numbers its messages for one
// incarnation of the other instance, keeps them until they are acknowledged and sends them
// again on a fresh connection; the receiver drops repeats. The service never interprets a
// message, never blocks a sender, and never delivers a message of an earlier incarnation.
//
// Messages that are lost because the numbering began again are reported as port.PeerReset; the
// services that cannot do without them compare their state then.
//
// When a connection breaks or stays silent it is closed and replaced. While there is none,
// messages wait in the link's ring, and Send refuses when the ring is full. When a
// receiving service has no room, the connection is closed without acknowledgement, so that
// the message is sent again.
package peers
