// Package registry keeps the records of the backend servers of routed services.
//
// A Registry owns one record for each backend server that it has heard of. Invariants: a record is
// only replaced by a newer one, by incarnation first and sequence then; within an incarnation a
// server that leaves or is gone never comes back; two servers never hold one address, the one that
// started later does. It does no input or output and reads no clock. What it cannot decide, such as
// whether a silent server lives, it shows as a state and leaves to the users of the records.
package registry
