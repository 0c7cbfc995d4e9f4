// Package allocate is the service that finds backend servers for the requests of this instance.
//
// It owns a decide/allocate.Machine and carries its messages to the dispatcher, which is the leader
// of the control group. While no dispatcher answers, the machine decides alone with an equal share
// of the servers; nothing waits for an election.
package allocate
