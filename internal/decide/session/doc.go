// Package session tracks the liveness of the instances at the leader of the control group: it
// answers their heartbeats, assigns the leases, and declares owners of claims dead.
//
// A Tracker owns the times of the last heartbeats and lease renewals, in the memory of one
// leader. It never changes the replicated state itself: Tick returns commands that the
// leader proposes, each guarded so that a late or repeated one does no harm. When the leader
// fails, its successor starts with an empty Tracker and waits until every lease and every
// heartbeat timeout that it cannot know about has expired.
package session
