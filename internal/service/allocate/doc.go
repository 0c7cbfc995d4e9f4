// Package allocate is the service that obtains backend servers for the requests of this instance.
//
// It owns a decide/allocate.Machine and exchanges the machine's messages with the dispatcher, which
// is the scheduler service on the leader of the control group. While no dispatcher answers, the
// machine decides alone with an equal share of the servers, so no request waits for an election.
package allocate
