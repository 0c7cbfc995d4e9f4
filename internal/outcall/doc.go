// Package outcall is the common part of the clients towards backend servers: it starts a
// named reader for each call and cancels it on request.
//
// A reader is a duty that performs blocking input and output for one call. It holds no
// scheduler state; what it reads goes to the sink.
package outcall
