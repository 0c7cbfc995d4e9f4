// Package roster keeps the list of the instances that take requests from callers.
//
// An Instances value, at each core instance, owns what the instances said of themselves; a Lists
// value, at each instance that tells callers addresses, owns the list of each core instance.
// Neither does input or output or reads a clock. An instance that cannot be heard is left out; an
// instance without any list goes on with the last one, because a caller can try another address
// and cannot do without one.
package roster
