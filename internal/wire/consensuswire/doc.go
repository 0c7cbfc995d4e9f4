// Package consensuswire converts the messages between voters and the records on a voter's disk
// to bytes and back. It owns no state. Decoding checks its input, which comes from the network
// or from a disk, and returns MalformedError; it never panics.
package consensuswire
