// Package retry implements a retry budget, which limits how often requests are sent to a second
// backend server, as a retry or as the second call of a hedged request.
//
// It owns the counts of requests, retries and hedged requests in the last window for each service. Hedged
// requests count as retries and have a lower limit of their own. The limit applies
// to the whole fleet. Each instance uses a part of it without coordination: a ratio of its own
// requests, and an equal share of the fixed allowance. It reads no clock: the time is an argument.
package retry
