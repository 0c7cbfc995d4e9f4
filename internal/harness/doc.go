// Package harness simulates the production dispatch code and three baselines in virtual time
// against in-memory engines, with the same seed and arrivals for each.
//
// It owns the virtual clock, the model of an engine and the workloads of both deployments.
// It is not a cluster simulator: messages between instances take a fixed time, and only the
// dispatcher and the engines fail. Runs with the same seed are identical. It does no input or
// output; the tests that use it report bounds that do not hold.
package harness
