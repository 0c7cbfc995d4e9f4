// Package outcall is the common part of the clients for backend servers. It runs each call in its
// own duty and cancels it on request.
//
// A Reader performs the blocking I/O of one call. It holds no scheduler state and passes what it
// reads to the sink.
package outcall
