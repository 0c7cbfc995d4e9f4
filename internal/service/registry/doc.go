// Package registry is the service that holds the records of the backend servers.
//
// It owns a decide/registry.Registry. At core instances it accepts the announcements of backend
// servers and forwards changed records to every connected instance before it answers the server;
// records from other core instances are forwarded once. After a reset of a connection, which may have
// lost messages, all records are sent again. Instances that take requests only receive records.
package registry
