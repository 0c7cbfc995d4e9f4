// Package httpbackend is the service that calls backend servers over HTTP/1.1.
//
// It owns the idle connections to each server and the calls in progress. Each call is a duty of its
// own that writes the request and reads the answer; an answer that has begun goes straight to the
// caller's ring. An answer counts only if it repeats the name of the attempt: whatever else comes
// on a kept connection belongs to no request. After any doubt the connection is closed.
//
// A call fails in one of three ways, which the owner of the request must be able to tell apart:
// nothing was sent, the server said that it did not run the request, or the request may have run.
package httpbackend
