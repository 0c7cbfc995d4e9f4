// Package control implements a voter of the control group as a kernel service.
//
// The control duty owns the consensus node, the replicated state and the requests that wait for
// an answer. The sync duty owns the data folder: it appends records, makes many of them durable
// with one sync and reports to the control duty. The snapshot duty encodes views of the state,
// decodes received snapshots and writes the snapshot files of both. The service never answers a
// command before it is committed, and answers each accepted command exactly once. If it loses
// leadership first, it answers NotLeader; a client may then resend, because commands are idempotent.
//
// After a failed write or sync the voter halts and reports unhealthy; an unattended voter opens its
// folder again after a pause. A folder that was restored from an older copy is wiped, and the voter
// rejoins as a learner. A folder that belongs to another instance is refused at the start, and so is
// a corrupt one unless the voter is unattended.
package control
