// Package members is the service that keeps the view of instances and backend servers.
//
// Its duty owns a decide/member machine, feeds it with announcements, connection changes
// and messages of other instances, and publishes immutable views. It never judges by
// itself and never waits for another instance: a message that cannot be sent is repaired
// by the next exchange of digests. Load reports are passed on unchanged and not kept.
package members
