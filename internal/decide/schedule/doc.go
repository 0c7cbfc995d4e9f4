// Package schedule queues the requests that wait for the backend servers of routed services, grants
// them to servers, and denies those that cannot be served in time.
//
// A Scheduler owns the waiting requests, the granted requests of each server, the learned speed and
// failures of each server, and the allotments of the teams. It performs no I/O and reads no clock:
// inputs change its state and Take returns the decisions. Requests wait here because the servers run
// requests in order of arrival, whatever their urgency: a server is granted no more than it can run
// at once.
//
// A free slot is granted only as far as more urgent ranks can spare it for the time that the request is expected to
// hold it; package admission compares their demand with the ends of running work.
//
// Requests are ordered by the rank of their route. Within a rank, requests that can still start on
// time go before late ones, and each of the two groups is ordered by deadline, with long requests
// placed up to about two seconds later unless their size class is underserved. A more urgent rank
// therefore never queues behind a less urgent one, but for the few slots of a rank whose served share
// has fallen far below that of all requests; and within a rank the order of arrival bounds every
// wait. A request that only some servers can start or finish in time waits for one of them
// without blocking the requests behind it. It is denied once the work ahead of it takes longer than
// it may wait, or after a third of its total time, while its caller still has time to retry. A plain request
// that cannot be on time is denied as soon as that shows, if others could take its place. What an answer
// takes is a quantile of the servers' times there, because a tenth of them may be several times slower.
//
// A denial for a long queue or for time is an appointment where the rank has room for the request within the
// time that its caller waits (package appointment). A caller that keeps it goes before new requests of its
// rank.
//
// The failure mode is denial, and every denial carries the time after which to retry. Losing state,
// as on a change of the dispatcher, leads to worse choices but never runs a request twice, because
// the instance that owns the request decides whether it is sent again.
package schedule
