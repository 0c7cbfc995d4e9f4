// Package entry decides the course of the requests that one instance has accepted.
//
// A Machine owns each request from its submission to its end: limits, joins by idempotency
// key, the wait for a grant, the claim of the key, dispatch, and the run state of a refusal.
// It does no input or output. Step functions take the time and an input and return effects,
// which the entry service carries out in order.
//
// Invariants:
//   - A request is dispatched again only after a transfer reported that it provably did not run.
//   - A keyed request is dispatched only while this attempt holds the claim.
//   - A keyed request is answered not_run only after the control group has confirmed that no
//     claim stands and has stopped earlier attempts.
//   - Every submission ends with exactly one refusal or is handed to a transfer.
package entry
