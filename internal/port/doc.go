// Package port names the services of an instance and defines their interfaces and message
// types. A service imports this package and never the package of another service.
//
// A parameter named sink is a function that puts a message into the receiver's ring. It returns a
// typed error when the ring rejects the message, and never runs the receiver's code on the
// caller's goroutine.
package port
