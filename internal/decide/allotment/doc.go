// Package allotment limits what is let through for each team, as a bucket of tokens that fills at
// a steady rate.
//
// It owns the level of each bucket. It reads no clock: time is an argument. A team without a limit
// always passes.
package allotment
