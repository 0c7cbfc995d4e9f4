package schedule

import (
	"math/bits"
	"time"

	"briaryard/internal/decide/rollout"
	"briaryard/internal/model"
)

const (
	// maxCredit bounds the requests of a route that the target of a roll-out is owed, so that it gets no burst
	// after its servers had no room.
	maxCredit = 2.0
	// minBoost and maxBoost bound the factor by which routes differ in the target's share.
	minBoost, maxBoost = 0.25, 4.0
	// targetPreference is the cost by which the target is preferred for a request that it is to get. It exceeds
	// every cost of a usable server.
	targetPreference = time.Minute
	// maxSamples bounds the evidence that is kept until it is taken.
	maxSamples = 8192
)

// Split is the part of the requests of a service that may go to the target of its roll-out, as decided by the
// judge at the leader. Schedulers without one grant nothing to a target that is not trusted.
type Split struct {
	Service model.PoolID
	// Number is the roll-out that the split belongs to.
	Number uint64
	Share  float64
	// Allowance is the number of requests that this scheduler may grant to the target since Before was reserved,
	// which is the reservation at the start of the judge.
	Before, Allowance int
}

// serviceRollout is the last roll-out of a service.
type serviceRollout struct {
	model.Rollout
	// split is zero without a judge. granted counts the requests to the target since split.Before was reserved.
	split   Split
	granted int
	// routes holds the split of each route, and requests the number of grants.
	routes   map[uint16]*routeSplit
	requests float64
}

// routeSplit is the split of the requests of one route.
type routeSplit struct {
	// credit is the number of requests that the target is owed, and requests the number of grants.
	credit, requests float64
}

// SetRollouts sets the last roll-outs of all services and the splits of those in progress.
func (s *Scheduler) SetRollouts(now time.Time, list []model.Rollout, splits []Split) {
	known := make(map[model.PoolID]bool, len(list))
	for _, r := range list {
		known[r.Service] = true
		s.service(r.Service).setRollout(r)
	}
	for _, split := range splits {
		if v := s.services[split.Service]; v != nil && v.rollout != nil && v.rollout.Number == split.Number {
			v.rollout.setSplit(split)
		}
	}
	for id, v := range s.services {
		if v.rollout != nil && !known[id] {
			v.rollout = nil
		}
	}
	s.assignSlots()
	s.decideAll(now)
}

func (v *service) setRollout(r model.Rollout) {
	if v.rollout == nil || v.rollout.Number != r.Number {
		v.rollout = &serviceRollout{routes: make(map[uint16]*routeSplit)}
	}
	// A scheduler whose judge has ended grants nothing to the target.
	v.rollout.Rollout, v.rollout.split.Share, v.rollout.split.Number = r, 0, 0
}

func (r *serviceRollout) setSplit(split Split) {
	if split.Before != r.split.Before {
		r.granted = 0
	}
	r.split = split
}

// judged reports whether the evidence of this scheduler is taken.
func (r *serviceRollout) judged() bool { return r != nil && !r.Ended() && r.split.Number != 0 }

// RollsOut reports whether a roll-out is in progress.
func (s *Scheduler) RollsOut() bool {
	for _, v := range s.services {
		if v.rollout != nil && !v.rollout.Ended() {
			return true
		}
	}
	return false
}

// applyVersions marks the servers that get no request because of their version, and those that get only their
// share. Without a roll-out there are none.
func (v *service) applyVersions() {
	r := v.rollout
	if r == nil {
		for _, b := range v.servers {
			b.target, b.limited, b.barred = false, false, false
		}
		return
	}
	best, targetListed := model.VersionTarget, false
	for _, b := range v.servers {
		if b.record.State > model.Suspect {
			continue
		}
		class := r.Class(b.record.Version)
		targetListed = targetListed || class == model.VersionTarget
		best = min(best, class)
	}
	for _, b := range v.servers {
		class := r.Class(b.record.Version)
		b.target = class == model.VersionTarget
		b.limited = b.target && !r.Trusted
		switch {
		case b.target:
			b.barred = !r.Trusted && r.split.Share <= 0
		case r.Trusted && targetListed:
			b.barred = true
		default:
			b.barred = class != best
		}
	}
}

// excludes reports whether a server gets no request of a route now because of its version.
func (v *service) excludes(q *queuedRequest, b *server) bool {
	return b.limited && (v.rollout.granted >= v.rollout.split.Allowance || v.rollout.credit(q.Route) < 1)
}

// versionCost returns the cost of a server that follows from its version.
func (v *service) versionCost(b *server) time.Duration {
	if b.limited {
		return -targetPreference
	}
	return 0
}

// credit returns the number of requests of a route that the target is owed.
func (r *serviceRollout) credit(route uint16) float64 {
	if p := r.routes[route]; p != nil {
		return p.credit
	}
	// The first request of each route goes to the target.
	return 1
}

// boost returns the factor by which the target's share of a route differs from that of the service: routes with few
// requests yield as much evidence as the others. The mean over all requests is about 1.
func (r *serviceRollout) boost(p *routeSplit) float64 {
	if r.split.Share >= 1 {
		return 1
	}
	return min(max((r.requests+1)/(float64(len(r.routes))*(p.requests+1)), minBoost), maxBoost)
}

// recordVersion accounts for a grant.
func (s *Scheduler) recordVersion(v *service, q *queuedRequest, b *server) {
	r := v.rollout
	if !r.judged() {
		return
	}
	p := r.routes[q.Route]
	if p == nil {
		p = &routeSplit{credit: 1}
		r.routes[q.Route] = p
	}
	p.credit = min(p.credit+r.split.Share*r.boost(p), maxCredit)
	p.requests++
	r.requests++
	if b.limited {
		p.credit--
		r.granted++
	}
	s.addSample(rollout.Sample{Service: v.id, Server: b.record.ID, Route: q.Route, Target: b.target, Kind: rollout.Granted})
}

// sample records evidence about a granted request of a service with a roll-out.
func (s *Scheduler) sample(now time.Time, b *server, w *grantedWork, r *Report) {
	v := s.service(w.Service)
	if !v.rollout.judged() {
		return
	}
	sample := rollout.Sample{
		Service: v.id, Server: b.record.ID, Route: w.Route, Target: b.target, Size: uint8(bits.Len(uint(max(w.Prompt, 0)))),
	}
	switch r.Outcome {
	case Began:
		if w.Started {
			return
		}
		sample.Kind, sample.First = rollout.Began, r.First
	case Finished:
		sample.Kind = rollout.Finished
		if v.engine == nil {
			sample.First = r.First + r.Rest
		} else if r.Events > 1 {
			sample.PerEvent = r.Rest / time.Duration(r.Events-1)
		}
	case Failed:
		sample.Kind = rollout.Failed
	case Cancelled:
		if w.Started {
			return
		}
		sample.Kind, sample.First = rollout.Unanswered, now.Sub(w.grantedAt)
	case Full, Absent, Unused:
		// The request did not run.
		return
	}
	s.addSample(sample)
}

func (s *Scheduler) addSample(sample rollout.Sample) {
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, sample)
	}
}

// TakeSamples returns the evidence since the last call.
func (s *Scheduler) TakeSamples() []rollout.Sample {
	out := s.samples
	s.samples = nil
	return out
}

// RolloutStatus returns the state of the servers of the services with a roll-out in progress.
func (s *Scheduler) RolloutStatus() []rollout.Status {
	var out []rollout.Status
	for id, v := range s.services {
		if v.rollout == nil || v.rollout.Ended() {
			continue
		}
		status := rollout.Status{Service: id}
		for _, b := range v.servers {
			usable := b.record.State == model.Alive && !b.absent && (b.leaving == 0 || b.leaving != b.record.Incarnation)
			switch {
			case !b.target:
				status.OldRunning += len(b.granted)
				if usable {
					status.OldSlots += b.allSlots()
				}
			case usable:
				status.TargetServers++
				status.TargetSlots += b.allSlots()
			}
		}
		out = append(out, status)
	}
	return out
}

// ownSamples is the number of samples of which a server of the target keeps the plain mean.
const ownSamples = 4

// average returns an average after a sample. A server of the target begins with the mean of the old version, which
// says nothing of its own version, so its first samples replace it.
func (s *server) average(old, sample time.Duration, samples int) time.Duration {
	if s.target && samples < ownSamples {
		return old + (sample-old)/time.Duration(samples+1)
	}
	return movingAverage(old, sample)
}
