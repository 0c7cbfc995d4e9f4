// Package fault defines one type for each kind of failure that reaches a caller or an
// operator, and the one table that maps each kind to its problem type, HTTP status, run
// state and exit code.
//
// The files are split by the part of the system that raises the failures. Every type
// implements Fault; a type whose run state depends on the request also implements Stated.
package fault
