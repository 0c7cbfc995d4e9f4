// Package trust holds what the listeners and the connections between instances check: TLS
// certificates from files, which are read again when they change, and tokens.
//
// Tokens are kept as hashes, are compared in constant time, and never appear in a log or in
// an error. When changed files cannot be read, the certificate in use stays in use.
package trust
