// Package entry implements the state machine for the requests that one instance has accepted.
//
// A Machine owns each request from its submission to its end: rate and concurrency limits,
// deduplication by idempotency key, waiting for a grant, claiming the key, dispatch, and the
// run state that a refusal reports. It performs no I/O. Step functions take the current time
// and an input and return effects, which the entry service executes in order.
//
// Invariants:
//   - A request is dispatched again only after its transfer has reported proof that it did
//     not run.
//   - A keyed request is dispatched only while this attempt holds the key's claim.
//   - A keyed request is answered not_run only after the control group has confirmed that no
//     claim is held for the key and has barred earlier attempts from claiming it.
//   - Every submission either ends with exactly one refusal or is handed to a transfer.
package entry
