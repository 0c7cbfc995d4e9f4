// Package member implements the membership protocol and failure detector of an instance: which
// other instances and backend servers it knows, and in which state.
//
// Machine owns the records of both. A record has a version: incarnation, finality of the
// state, sequence and home. A record replaces another only if its version is higher, so the
// result does not depend on the order, duplication or temporary loss of messages. Within an
// incarnation, a member that is leaving does not become alive again, and gone is final. Only the
// home instance of a backend server writes its records, and only an instance itself writes its
// own. Each observer decides from its own connection whether another instance is alive; this is
// not propagated.
//
// The package performs no I/O and reads no clock. After the observer itself was paused or
// disconnected, no member expires for a while.
package member
