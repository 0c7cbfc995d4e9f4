// Package controlwire converts the control group's commands, snapshots and messages between
// their Go types and protobuf.
//
// It owns no state. It never trusts its input: sizes, counts and values are checked before
// they reach a decision, and no input makes it panic. Input that fails a check gives a
// DecodeError, and a value that has no encoding gives an EncodeError; nothing is partly
// decoded.
package controlwire
