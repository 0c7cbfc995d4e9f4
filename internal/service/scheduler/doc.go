// Package scheduler is the service that decides for the whole fleet which backend server runs which
// routed request. It runs at core instances; instances that take requests follow the leader of the
// control group, which keeps the others idle.
//
// It owns a decide/schedule.Scheduler and the session of each instance. Its state is soft: an
// instance that joins gives a full account, and one whose connection may have lost messages joins
// again. Nothing here can make a request run twice, because only the instance that owns it sends
// it; so two schedulers at a time only make worse choices.
package scheduler
