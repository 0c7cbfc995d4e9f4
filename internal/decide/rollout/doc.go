// Package rollout judges whether the new version of a service may get its traffic.
//
// A Judge follows one roll-out at the leader of the control group. It is given what became of the requests that
// the dispatcher granted, and the committed state of the roll-out; it returns the share of the requests that may
// go to the new version, an upper limit on their number, and the changes to commit. It has no I/O and no clock.
// Evidence is compared with that of the old version on the same route and size at the same moment. Every
// request that the new version may get before it is trusted is reserved in the committed state first, so that a
// new leader knows the most that its predecessor can have granted.
//
// The failure mode is to hold: without evidence, without a server of the new version or without a leader the
// share is not raised, and at the deadline the roll-out is rolled back. A version that turns bad after it was
// trusted is rolled back as long as the roll-out is not completed.
package rollout
