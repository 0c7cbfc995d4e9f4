// Package members is the service that keeps the view of instances and backend servers.
//
// Its duty owns a decide/member machine, passes it announcements, connection changes and
// messages of other instances, and publishes immutable views. The service makes no membership
// decisions itself and never waits for another instance: the loss of a message that cannot be
// sent is repaired by the next exchange of digests. Load reports are forwarded unchanged and
// not stored.
package members
