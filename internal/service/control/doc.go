// Package control is the service of a voter of the control group.
//
// The control duty owns the consensus node, the replicated state and the requests that wait for
// an answer. The sync duty owns the data folder: it appends records, syncs many of them at once
// and reports back. The snapshot duty encodes views of the state, decodes received snapshots and
// writes the files of both. The service never answers a command before it is committed, and answers
// each command that it takes exactly once; it answers NotLeader when it stops leading first, and a
// client may then resend, because commands are idempotent.
//
// After a failed write or sync the voter takes no further part and reports unhealthy. A folder
// that was restored from an older copy is emptied, and the voter rejoins as a learner. A folder
// that is damaged or belongs to another instance is refused at the start.
package control
