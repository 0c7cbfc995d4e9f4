// Package roster is the service that lists the instances that accept requests.
//
// At core instances it owns the presence that each instance has reported and whether its connection
// carries data. When the list changes, it sends every instance the difference to the version that the
// instance has, and the whole list only after a reset of the connection or on request. At the other
// instances it reports this instance's presence and owns the lists received from the core instances.
// Nothing is sent while nothing changes: the connections themselves show which instances are alive.
package roster
