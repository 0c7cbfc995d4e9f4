// Package engineclient is the service that calls model engines over HTTP with server-sent
// events.
//
// Each connection is used for one call. A stream that breaks or goes silent is resumed over
// a new connection from the next token; it is never started again. A token that arrives
// twice is dropped, and a missing token is a typed failure.
package engineclient
