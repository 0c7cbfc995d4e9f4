// Package state is the replicated state of the control group: claims of idempotency keys
// and their outcomes, accepted configurations, and leases with fencing numbers.
//
// A Machine applies commands one at a time in log order. It does no input or output, holds
// no lock and reads no clock: the leader stamps each log entry with a time. Two machines
// that apply the same entries are equal. Memory is bounded by Limits. The machine refuses a
// claim rather than forget one whose outcome matters, and where it does forget, the floor
// index keeps attempts that began earlier from running.
//
// Invariants:
//   - Of the attempts with one key, at most one holds or has held a claim that was not
//     released, until a finished claim is past its retention. Even then, only an attempt that
//     began after the finish can claim the key.
//   - After Refuse or Release has answered ClaimNone at an index, no claim with an older
//     SeenIndex is won.
//   - The revision and the epoch of each lease only grow; each number has one winner.
package state
