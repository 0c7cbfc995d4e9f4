// Package engineclient is the service that calls model engines over HTTP with server-sent
// events.
//
// Each connection is used for one call. A stream that breaks or goes silent is resumed over
// a new connection from the next token; it is never started again. A token that arrives
// twice is dropped, and a missing token is a typed failure.
//
// Orders are written in one piece on a connection that was opened just before, after a last
// check of the sender's lease; order.go says what remains possible when the process is
// stopped between the check and the write.
package engineclient
