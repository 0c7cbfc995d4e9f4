// Package controlcall decides how an instance talks to the control group: whom it asks, when
// it asks again, when a command has failed, and what it may conclude from a heartbeat's
// answer.
//
// A Machine owns the commands that wait for an answer, the instance's view of the leader, the
// lease table and the time of the last confirmation. It does no input or output; step
// functions take the time and return effects, which the control-client service carries out.
// Every command ends with exactly one Answer. When the control group cannot be reached,
// commands end with fault.ControlUnavailable, leases held here end on this instance's own
// clock, and the instance is reported as not confirmed.
package controlcall
