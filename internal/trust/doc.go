// Package trust provides TLS configurations and bearer tokens: those that listeners and
// connections between instances verify, and those that outgoing calls present. Their files are
// reloaded when they change.
//
// Accepted tokens of callers, operators and backend servers are stored as hashes and compared in
// constant time. No token appears in a log or in an error. If changed files cannot be loaded, the
// values that were last loaded stay in use and the reason is reported.
package trust
