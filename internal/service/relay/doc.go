// Package relay is the service that owns the routed requests of this instance.
//
// It owns a decide/relay.Machine, the submissions of the front end and the view that requests are
// admitted by. Front ends put submissions in its ring; decisions come from allocate and the course
// of calls from backend.http. The bytes of an answer that has begun do not pass through here: the
// duty of the call puts them in the caller's ring. When the instance ends, what waits has not run,
// and calls end with their connections.
package relay
