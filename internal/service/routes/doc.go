// Package routes is the service that holds the configuration of routes in force.
//
// It owns the table of the latest accepted configuration that could be decoded and the time at
// which it was last known to be the accepted one. A configuration that cannot be decoded is logged
// and not confirmed. The instance then continues with the previous one until its confirmation
// expires, and refuses requests from then on.
package routes
