// Package booking is a small stand-in for a plain service that books slots, takes deposits
// and looks up stock. It counts the executions of each idempotency key and, unlike an
// idempotent service, does not deduplicate repeated calls.
package booking
