// Package fleet holds what a pool's dispatcher knows of the pool's backend servers and
// chooses one for each request.
//
// It owns the window of each server (requests and prompt tokens in flight), the learned
// speeds, and the index of cached prefixes. Load reports and cache events may be late, and
// some are lost, so every estimate starts from the work that the dispatcher itself has
// granted. It never reads a clock, never uses a shared random source and never sends
// anything. When its knowledge is wrong, a request takes longer than estimated; the next
// answers correct the estimate. When all knowledge is lost, windows start at the announced
// slots and speeds are learned again.
package fleet
