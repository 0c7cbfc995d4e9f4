// Package retry implements a retry budget, which limits how often requests are sent to a second
// backend server.
//
// It owns the counts of requests and retries in the last window for each service. The limit applies
// to the whole fleet. Each instance uses a part of it without coordination: a ratio of its own
// requests, and an equal share of the fixed allowance. It reads no clock: the time is an argument.
package retry
