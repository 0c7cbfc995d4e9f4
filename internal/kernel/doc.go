// Package kernel holds the micro-kernel: a registry of named services, their start and stop
// order, their health, and the duties (named goroutines) that they run.
//
// The kernel owns the registry and the list of duties. It knows nothing about requests. A
// missing name, a duplicate name or a cyclic dependency is a typed error before any service
// starts. The panic of a duty is reported once and ends the process, because the state that
// the duty owned may be inconsistent.
package kernel
