// Package peers is the service that connects this instance to the others.
//
// The duty "peers" owns the table of links and decides which connection a link uses. Each
// link has one duty that sends and one that receives. A link numbers its messages for one
// incarnation of the other instance, keeps them until they are acknowledged and resends them
// on a new connection; the receiver drops duplicates. The service never interprets a
// message, never blocks a sender, and never delivers a message of an earlier incarnation.
//
// When the message ids start again at one, messages may be lost. This is reported as
// port.PeerReset; services that depend on those messages then synchronize their state.
//
// When a connection breaks or stays silent it is closed and replaced. While there is none,
// messages wait in the link's ring, and Send fails when the ring is full. When the ring of a
// receiving service stays full, the connection is closed without an acknowledgement, so that
// the message is sent again.
package peers
