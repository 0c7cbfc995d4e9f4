// Package booking is a small stand-in for a plain service that books slots, takes deposits
// and looks up stock. It counts how often each idempotency key was executed and, unlike a
// careful service, does not itself suppress repeats.
package booking
