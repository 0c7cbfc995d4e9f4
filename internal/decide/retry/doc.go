// Package retry limits how often requests are sent to a second backend server.
//
// It owns the counts of the last window for each service. The limit is one for the whole fleet;
// each instance uses a part of it that needs no agreement: a share of its own requests, and an
// equal part of the fixed allowance. Time is an argument.
package retry
