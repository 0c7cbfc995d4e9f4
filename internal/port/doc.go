// Package port names the services of an instance and defines their interfaces and message
// types. A service imports this package and never the package of another service.
//
// Functions named Sink put a message in the receiver's ring; they return a typed error when
// the ring refuses. They never run the receiver's code on the caller's goroutine.
package port
