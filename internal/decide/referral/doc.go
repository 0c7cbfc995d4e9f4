// Package referral decides which members of the control group an instance names that is no member itself.
//
// A Directory owns what the instance has learnt of the members: the list of the leader, those of other
// instances, and the members that are connected to it. It does no I/O. While it knows nothing, it names no
// member; a member that has left is named until the next list of the leader.
package referral
