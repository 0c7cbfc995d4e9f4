// Package clock reads the clocks that leases and deadlines are counted by.
//
// It owns nothing. Go's monotonic clock stands still while a machine is suspended, so a lease
// counted by it can seem to last. Boot counts that time. A reading that fails ends the
// process's trust in its leases: Boot then panics, because no clock can take its place.
package clock
