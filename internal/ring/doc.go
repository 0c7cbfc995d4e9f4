// Package ring provides the bounded queue through which duties exchange messages.
//
// A ring owns the items between Put and Get. It starts no goroutine and does not spin:
// producers and consumers block on channels. A full ring blocks the producer, returns a typed
// error, or replaces the oldest item, depending on the policy with which it was created.
package ring
