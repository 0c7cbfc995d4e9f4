// Package plainclient is the service that calls plain services over HTTP.
//
// Each call uses a connection of its own: a request written to a pooled connection that has
// gone silent could not be told apart from one that ran. A call is never repeated here.
package plainclient
