// Package relay is the service that owns the routed requests of this instance.
//
// It owns a decide/relay.Machine, the submissions of the front end and the configuration view that
// admission uses. Front ends put submissions in its ring; scheduling decisions come from allocate
// and call events from backend.http. The bytes of an answer in progress do not pass through this
// service: the duty of the call puts them in the caller's ring. If the process ends, waiting
// requests have not run, and calls end with their connections.
package relay
