// Package member decides what an instance believes about the other instances and about the
// backend servers.
//
// Machine owns the records of both. A record has a version: incarnation, finality of the
// state, sequence and home. A record replaces another only if its version is higher, so the
// result does not depend on the order, repetition or temporary loss of messages. Leaving
// and gone are final for an incarnation. Only the home instance of a backend server writes
// its records, and only an instance itself writes its own; whether another instance is
// alive is judged by each observer from its own connection and is not passed on.
//
// The package does no input or output and reads no clock. When the observer itself was
// paused or cut off, nothing expires for a while.
package member
