// Package plainclient is the service that calls plain services over HTTP.
//
// Each call uses a new connection. If a request were written to a pooled connection that no
// longer answers, it would be unknown whether the request ran. The client never retries a call.
package plainclient
