// Package consensuswire encodes and decodes the messages between voters and the records on a
// voter's disk. It holds no state. Decoding checks its input, which comes from the network or from
// a disk, and returns MalformedError if it is invalid; it never panics.
package consensuswire
