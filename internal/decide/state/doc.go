// Package state implements the replicated state machine of the control group: claims of
// idempotency keys and their outcomes, accepted configurations, and leases with fencing tokens.
//
// A Machine applies commands one at a time in log order. It performs no I/O, takes no locks and
// reads no clock: the leader stamps each log entry with a time. Two machines that apply the same
// entries are equal. Memory is bounded by Limits. The machine refuses a new claim rather than
// evict an existing one. When it removes a finished claim past its retention, or a barrier, the
// floor index keeps attempts that began earlier from claiming a key.
//
// Invariants:
//   - Of the attempts with one key, at most one holds or has held a claim that was not
//     released, until a finished claim is past its retention. Even then, only an attempt that
//     began after the finish can claim the key.
//   - After Refuse or Release has returned ClaimNone at an index, no claim with a lower
//     SeenIndex is won.
//   - The configuration revision and the epoch of each lease increase monotonically; each
//     number has one winner.
package state
