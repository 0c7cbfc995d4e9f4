// Package memberwire encodes the messages of the membership. It owns no state; Decode
// checks its input and returns a typed error for what it cannot use.
package memberwire
