// Package routing finds the route, the team and the service of a request.
//
// A Table is built from an accepted configuration and never changes. It performs no I/O and reads no
// clock; a lookup without a result reports false.
package routing
