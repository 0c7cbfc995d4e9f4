// Package dispatchwire encodes the messages between instances and dispatchers.
//
// It owns no state. Deadlines and other times travel as durations relative to the moment of
// encoding and are rebuilt from the receiver's clock, because the clocks of two machines
// differ; a message therefore moves its deadline by its time in transit. Decode checks
// every field that the receiver relies on and returns a typed error for anything else.
package dispatchwire
