// Package engineclient is the service that calls model engines over HTTP with server-sent
// events.
//
// Each connection is used for one call. A stream that breaks or becomes silent is resumed on
// a new connection from the next token; it is never restarted. A duplicate token is dropped,
// and a missing token is a typed failure.
//
// An order is written with a single write on a newly opened connection, directly after a check
// of the sender's lease. order.go describes what can still happen if the process is stopped
// between the check and the write.
package engineclient
