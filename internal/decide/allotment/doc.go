// Package allotment limits the requests that are admitted for each team with a token bucket.
//
// It owns the level of each bucket. It reads no clock: the time is an argument. Requests of a team
// without a limit are always admitted.
package allotment
