// Package fault defines a type for each kind of failure that is reported to a caller or an
// operator, and the only table that maps each kind to its problem type, HTTP status, run
// state and exit code.
//
// Each file holds the failures of one part of the system. Every type with a code implements Fault;
// a type whose run state depends on the request also implements Stated.
package fault
