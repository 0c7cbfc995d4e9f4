// Package roster is the service that lists the instances that take requests.
//
// At core instances it owns what each instance said of itself and whether it can be heard, and
// sends the list to every instance when it changes. At the others it says what this instance does,
// and owns the lists of the core instances. Nothing is sent while nothing changes: the connections
// themselves show who lives.
package roster
