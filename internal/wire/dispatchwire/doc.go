// Package dispatchwire encodes the messages between instances and dispatchers.
//
// It holds no state. Deadlines and other times are sent as durations relative to the time of
// encoding and converted back with the receiver's clock, because the clocks of two machines
// differ. A deadline is therefore delayed by the transit time of its message. Decode checks
// every field that the receiver relies on and returns a typed error for invalid input.
package dispatchwire
