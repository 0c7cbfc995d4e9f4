// Package fleet tracks the backend servers of a pool for the pool's dispatcher and chooses one
// for each request.
//
// It holds the concurrency window of each server (requests and prompt tokens in flight), the
// learned speeds, and the index of cached prefixes. Load reports and cache events may be late,
// and some are lost, so every estimate starts from the work that the dispatcher itself has
// granted. The package reads no clock, uses no shared random source and sends nothing. If its
// state is wrong, a request takes longer than estimated, and the next answers correct the
// estimate. If its state is lost, windows start at the announced slots and speeds are learned
// again.
package fleet
