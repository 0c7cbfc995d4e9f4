// Package hold remembers what backend servers have told this instance about themselves in their answers:
// that they leave, or that they want no request for a while.
//
// A Table is bounded and performs no I/O. A word holds for the incarnation that gave it and for no other:
// a server that starts anew, or another one at the same address, is not held back. The caller passes a
// clock that counts the time during which the machine is suspended; with another one, a hold would last
// longer than the server asked for. Nothing fails: at its bound the table forgets the oldest words.
package hold
