// Package intake decides what a connection may hold before its request is known: it follows the bytes of requests
// from one message to the next, counts what their header sections need in memory once parsed, and chooses the
// connection to close when memory or connections run out. The load that it handles is callers that keep no limit.
//
// A Scanner recognises only what separates messages: lines, Content-Length, Transfer-Encoding and chunks. It
// changes no byte and validates nothing else; net/http parses the same bytes. Where a Scanner cannot follow a
// message, it says so and the connection is not used for another request.
package intake
