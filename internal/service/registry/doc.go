// Package registry is the service that holds the records of the backend servers.
//
// It owns a decide/registry.Registry. At core instances it accepts the announcements of backend
// servers and sends changed records to the other core instances and to its subscribers before it
// answers the server; records from other core instances are forwarded once. Changes of a short
// interval go out together. After a reset of a connection, which may have lost messages, all records
// are sent again. Instances that take requests subscribe to some core instances, and tell all of them
// of a server that has said in an answer that it leaves.
//
// An invalid record, of a server or of an instance, is counted and logged and changes nothing.
package registry
