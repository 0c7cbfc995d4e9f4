// Package rollout runs the judges of the roll-outs in progress while this instance is the leader of the control
// group.
//
// Its duty owns the judges and the roll-outs as committed. The voter publishes the roll-outs, the scheduler the
// evidence; the judges' splits go to the scheduler and their changes to the control group. A change that could not
// be committed is proposed again. The ring drops evidence when it is full, which delays a decision; the roll-outs
// and the state of the control group are published again, or replace earlier ones. A member that does not lead
// gives its scheduler the roll-outs without a share for a target that is not trusted.
package rollout
