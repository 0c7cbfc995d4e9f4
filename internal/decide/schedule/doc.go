// Package schedule orders the requests that wait for the backend servers of routed services, and
// decides which server runs which request and which request is refused.
//
// A Scheduler owns the waiting requests, the granted ones by server, what was learned about each
// server, and the allotments of the teams. It does no input or output and reads no clock; inputs
// change the state and Take returns what was decided. Requests wait here because the servers run
// what they get in order of arrival and know no urgency: a server gets no more than it can run at
// once.
//
// Order: by the route's rank; within a rank, requests that can still be on time go before late
// ones, and each group in the order in which its time runs out, long ones up to two seconds later
// unless their size class is served too seldom. So a more urgent kind never waits for a less urgent
// one, and within a kind the order of arrival bounds every wait. A request that only some servers
// can begin on time or end in time waits for one of them and holds up no other. It is refused once
// what goes before it takes longer than it may wait, or after a third of its time, while its caller
// can still come back.
//
// It fails by refusing, and the denial says when to come back. Knowledge that is lost, as after a change
// of the dispatcher, makes choices worse and never runs a request twice: the instance that owns a
// request decides about that.
package schedule
