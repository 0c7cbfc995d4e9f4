// Package harness runs the real dispatch decisions and three baselines in virtual time
// against in-memory engines, with the same seed and arrivals for each.
//
// It owns the virtual clock, the model of an engine and the workloads of both deployments.
// It is not a cluster simulator: messages between instances are a fixed delay, and only the
// dispatcher and the engines fail. A run is repeatable for a seed. It does no input or
// output; a failed bound is reported by the tests that use it.
package harness
