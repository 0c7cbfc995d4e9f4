// Package clock reads the clocks by which leases and deadlines are measured.
//
// It owns no state. Go's monotonic clock stops while a machine is suspended, so a lease measured
// by it could seem valid after it has expired; Boot includes that time. If the clock cannot be
// read, the process can no longer tell whether its leases are valid, and Boot panics, because no
// other clock can replace it.
package clock
