// Package consensus implements the control group's replicated log as a deterministic state
// machine in the style of Raft. A Node owns the term, the vote, the log since the last snapshot,
// the voter set and, at the leader, the progress of each member.
//
// It does no input or output, holds no lock, starts no goroutine and reads no clock: time is an
// argument and must come from a monotonic clock. Its inputs are messages, ticks, proposals and
// completed syncs; messages, records to sync and committed entries are returned by Output. Nothing
// is acknowledged before the record that it depends on is reported as synced.
//
// A member is the pair of instance and folder incarnation, so a wiped folder is another member.
// Each start of a folder has a boot, which the leader records in the log before it counts the
// member's acknowledgements. A folder restored from an older copy shows an outdated boot or a
// shorter log than it acknowledged; the leader reports this to the node, which halts. A node also
// halts after a failed sync: it neither votes nor acknowledges any more.
package consensus
