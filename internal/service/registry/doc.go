// Package registry is the service that holds the records of the backend servers.
//
// It owns a decide/registry.Registry. At core instances it takes the announcements of backend
// servers and passes changed records to every instance that it is connected to, before it answers
// the server; records from other core instances are passed on once. A connection that may have lost
// messages gets all records again. Instances that take requests only listen.
package registry
