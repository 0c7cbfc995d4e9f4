//go:build review2

// Command standins-2 plays the cases of the second review. It starts the project's own processes on loopback
// addresses, and stands in for clients, servers and the platform.
package main
