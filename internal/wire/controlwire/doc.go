// Package controlwire converts the control group's commands, snapshots and messages between
// their Go types and protobuf.
//
// It holds no state and does not trust its input: sizes, counts and values are checked before
// they reach a decision, and no input causes a panic. Decoding returns a DecodeError for input
// that fails a check, and encoding returns an EncodeError for a value that has no encoding. No
// partly decoded value is returned.
package controlwire
