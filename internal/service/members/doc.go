// Package members is the service that keeps the view of instances and backend servers.
package members
