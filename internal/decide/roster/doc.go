// Package roster keeps the list of the instances that accept requests from callers.
//
// An Instances value, on each core instance, owns the entries that the instances report about
// themselves. A Lists value, on each instance that gives addresses to callers, owns the list received
// from each core instance. Neither performs I/O or reads a clock. A disconnected instance is not
// listed. An instance that is disconnected from all core instances keeps its last list, because a
// caller can try another address but needs at least one.
package roster
