// Package memberwire encodes and decodes the membership messages. It holds no state. Decode checks
// its input and returns a typed error if it is invalid.
package memberwire
