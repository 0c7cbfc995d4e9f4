// Package kernel holds the micro-kernel: a registry of named services, their start and stop
// order, their health, and the duties (named goroutines) that they run.
//
// The kernel owns the registry and the list of duties. It knows nothing about requests. A
// missing name, a duplicate name or a cycle is a typed error before any service starts. A
// duty that panics is reported once and brings the process down, since the state that the
// duty owned can no longer be trusted.
package kernel
