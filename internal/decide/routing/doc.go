// Package routing finds the route, the team and the service of a request.
//
// A Table is built once from an accepted configuration and never changes. It does no input or
// output and reads no clock; a lookup that finds nothing reports false.
package routing
