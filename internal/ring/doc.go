// Package ring provides the bounded queue that joins duties.
//
// A ring owns the items between Put and Get. It never starts a goroutine and never spins:
// producers and consumers park on channels. When a ring is full it blocks, refuses with a
// typed error, or replaces the oldest item, as stated where the ring is created.
package ring
