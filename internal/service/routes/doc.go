// Package routes is the service that holds the configuration of routes in force.
//
// It owns the table of the newest accepted configuration and the time at which it was last known to
// be the accepted one. A configuration that cannot be read is reported and not confirmed; the
// instance then goes on with the last one until its confirmation has run out, and refuses requests
// from there on.
package routes
