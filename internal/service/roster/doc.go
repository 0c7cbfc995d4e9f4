// Package roster is the service that lists the instances that accept requests.
//
// At core instances it owns the presence that each instance has reported and whether its connection
// carries data, and sends the list to every instance when it changes. At the other instances it
// reports this instance's presence and owns the lists received from the core instances. Nothing is
// sent while nothing changes: the connections themselves show which instances are alive.
package roster
