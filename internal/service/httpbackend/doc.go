// Package httpbackend is the service that calls backend servers over HTTP/1.1.
//
// It owns the idle connections to each server and the calls in progress. Each call runs in its own
// duty, which writes the request and reads the answer. A streamed or long answer is forwarded
// directly to the caller's ring. An answer is accepted only if it repeats the attempt identifier,
// because a reused connection can carry data that belongs to no request. A connection whose state
// is uncertain is closed.
//
// A call fails in one of three ways, which the owner of the request must be able to tell apart:
// nothing was sent, the server stated that it did not run the request, or the request may have run.
package httpbackend
