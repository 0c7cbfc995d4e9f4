// Package controlcall is the client side of the control group as a state machine: it decides
// which voter an instance sends its commands and heartbeats to, when it resends them, when a
// command has failed, and what follows from the answer to a heartbeat.
//
// A Machine owns the pending commands, the instance's view of the leader, the lease table and
// the time of the last confirmation. It does no input or output: its methods take the time and
// return effects, which the control-client service carries out. Every command ends with exactly
// one Answer. When the control group cannot be reached, commands end with
// fault.ControlUnavailable, leases held here expire by this instance's own clock, and the
// instance is reported as not confirmed.
package controlcall
