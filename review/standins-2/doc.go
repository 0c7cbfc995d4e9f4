//go:build review2

// Package standins plays the cases of the second review. It starts the project's own processes on loopback
// addresses, and stands in for clients, servers and the platform.
package standins
