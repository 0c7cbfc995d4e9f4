// Package appointment keeps the times at which refused callers have been told to return.
//
// It handles the load of callers that return after a refusal. A Book holds one appointment for each
// fingerprint of a request and, for each rank of a service, the work that is booked for the next
// seconds. A booking takes the first time at which the room of its rank is not booked yet, so that
// callers which are refused together return one after the other. The book performs no I/O and reads no
// clock. It is bounded in number and in time: beyond maxAppointments nothing is booked, and an appointment
// ends when its caller has not returned in time.
//
// When appointments are lost, a returning caller is treated like a new one.
package appointment
