// Package state is the replicated state of the control group: claims of idempotency keys
// and their outcomes, accepted configurations, and leases with fencing numbers.
//
// A Machine applies commands one at a time in log order. It does no input or output, holds
// no lock and reads no clock: the leader stamps each log entry with a time. Two machines
// that apply the same entries are equal. Memory is bounded by Limits; the machine refuses
// a claim rather than forget one whose outcome matters.
package state
