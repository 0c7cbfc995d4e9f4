// Package trust holds what the listeners and the connections between instances check, and
// what outgoing calls carry: TLS certificates and tokens. Their files are read again when
// they change.
//
// Accepted tokens are kept as hashes and are compared in constant time. No token appears in a
// log or in an error. When changed files cannot be used, what was last read stays in use and
// the reason is reported.
package trust
