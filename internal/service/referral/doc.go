// Package referral is the service of a core instance that is no member of the control group: it answers
// those that take the instance for one, and names the members that it knows.
//
// It has the name of the control service, which runs at members, because the others do not know which of
// their contacts are members. It owns the directory of the members and never leads, stores or forwards
// anything. Messages that do not fit into its ring are dropped; their senders ask again.
package referral
