// Package registry keeps the records of the backend servers of routed services.
//
// A Registry owns one record for each backend server that it has heard of. Invariants: a record is
// replaced only by a newer one, compared by incarnation and then by sequence; within an incarnation, a
// server that is leaving or gone never returns to service; an address belongs to one server, the one
// that started last. A record is checked before it is merged; see CheckRecord. It performs no I/O and reads no clock. It cannot tell whether a silent server is
// alive: it marks such a server as suspect and leaves the decision to the users of the records.
package registry
