// Package scheduler is the service that decides for the whole fleet which backend server runs which
// routed request. It runs on core instances. Instances that accept requests use only the scheduler
// of the leader of the control group, so the others stay idle.
//
// It owns a decide/schedule.Scheduler and the session of each instance. Its state is soft: an
// instance that joins reports all its granted requests, and one whose connection may have lost
// messages joins again. A scheduling decision cannot make a request run twice, because only the
// instance that owns the request sends it. Two active schedulers therefore only make worse choices.
package scheduler
