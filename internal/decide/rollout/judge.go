package rollout

import (
	"math"
	"time"

	"briaryard/internal/model"
)

const (
	// startShare and canaryShare are the first shares. startRate and canaryRate are the requests a second that the
	// target gets at least, so that a service with few requests yields evidence too.
	startShare, canaryShare = 0.02, 0.05
	startRate, canaryRate   = 4.0, 8.0
	// rampShare follows before all requests go to the target on trial: it shows the load of the target's servers.
	rampShare = 0.25
	// startAnswers and enoughAnswers are the answers of the target that the next step needs.
	startAnswers, enoughAnswers = 10, 24
	// drainTime and drainShare set the time that is left after the trust, for answers that still run on the old
	// version: the longest of them, and a part of the duration. earliestTrust is the part of the duration before
	// which a version is not trusted, because some turn bad later.
	drainTime     = 5 * time.Second
	drainShare    = 0.3
	earliestTrust = 0.4
	// trialShare is the part of the duration of the trial before the trust, and maxTrial its limit.
	trialShare = 0.15
	maxTrial   = 1600 * time.Millisecond
	// lateShare is the part of the duration by which the trust may be late for want of answers or of servers.
	lateShare = 0.1
	// minObserved is how long a judge follows a roll-out with few answers before it trusts the target.
	minObserved = 2 * time.Second
	// minTrusted and minTrustedShare are how long all requests go to the target before the completion.
	minTrusted      = time.Second
	minTrustedShare = 0.08
	// chunkTime is the time for which requests to the target are reserved in advance: several commits.
	chunkTime = 500 * time.Millisecond
	minChunk  = 4
	// refreshInterval is the time between two commits of the elapsed time and of the requests, at most.
	refreshInterval = time.Second
	// refreshEvidence is the growth of the evidence against the target that is committed at once, so that the next
	// leader begins with it: one bad answer.
	refreshEvidence = 1
	// evidenceUnit is the unit in which it is committed.
	evidenceUnit = 1000
	// canaryMargin and capMargin are the parts of the bounds that the first steps and the trial use at most, and futureMargin the part of
	// the expected requests until the deadline that counts. The rest is left for what is granted to a version that
	// turns bad as it is trusted, until that shows.
	canaryMargin, capMargin, futureMargin = 0.45, 0.6, 0.5
	// rateTime is the time over which the requests a second are averaged.
	rateTime = time.Second
)

// Judge follows one roll-out in progress.
type Judge struct {
	limits  Limits
	rollout model.Rollout
	// orderedAt is the time of the order by this instance's clock, and updatedAt that of the last commit.
	orderedAt, updatedAt time.Time
	fleet                Fleet
	status               Status
	evidence
	// before is the reservation at the start of this judge, all of which counts as granted, and requestsBefore the
	// number of requests that was committed by then.
	before, requestsBefore int
	// requests and granted count the requests that this leader granted, of both versions and to the target.
	requests, granted int
	// rate is the number of requests a second, updated at rateAt from those since then.
	rate      float64
	rateAt    time.Time
	rateCount int
	share     float64
	startedAt time.Time
	// trustedAt is when this judge first saw the trust committed, and trustGeneration that commit or a later one.
	trustedAt       time.Time
	trustGeneration uint64
	// wanted is the phase that the judge has decided on; reason says why.
	wanted  model.RolloutPhase
	trust   bool
	changes []Change
}

// New returns a judge of a roll-out in progress, for a leader that begins or takes over. orderedAt is the time of the
// order by the clock of this instance.
func New(now, orderedAt time.Time, r model.Rollout, l Limits) *Judge {
	j := &Judge{limits: l, rollout: r, orderedAt: orderedAt, updatedAt: now, evidence: newEvidence(l), before: r.Reserved, requestsBefore: r.Requests, rateAt: now, startedAt: now}
	j.total.sum = float64(r.Evidence) / evidenceUnit
	if r.Trusted {
		j.trust, j.trustedAt, j.trustGeneration = true, now, r.Generation
	}
	return j
}

// Rollout returns the committed state.
func (j *Judge) Rollout() model.Rollout { return j.rollout }

// OrderedAt returns the time of the order by this instance's clock.
func (j *Judge) OrderedAt() time.Time { return j.orderedAt }

// InForce returns the state that the dispatcher follows: a roll-back applies before it is committed.
func (j *Judge) InForce() model.Rollout {
	r := j.rollout
	r.Trusted = r.Trusted && j.wanted != model.RolloutRolledBack
	return r
}

// TakeChanges returns the decisions since the last call.
func (j *Judge) TakeChanges() []Change {
	out := j.changes
	j.changes = nil
	return out
}

// Update takes a committed state of the roll-out.
func (j *Judge) Update(now time.Time, r model.Rollout) {
	if r.Number != j.rollout.Number || r.Generation <= j.rollout.Generation {
		return
	}
	if r.Trusted && !j.rollout.Trusted {
		j.trust, j.trustedAt, j.trustGeneration = true, now, r.Generation
	}
	j.rollout, j.updatedAt = r, now
}

// Observe takes evidence.
func (j *Judge) Observe(now time.Time, samples []Sample) {
	for i := range samples {
		s := &samples[i]
		if s.Kind != Granted {
			j.add(now, s)
			continue
		}
		j.requests++
		j.rateCount++
		if s.Target {
			j.granted++
		}
	}
	j.releaseHeld(now)
	j.closeBatch(now)
	j.check()
}

// SetStatus takes the state of the servers and of the instances.
func (j *Judge) SetStatus(s Status, f Fleet) { j.status, j.fleet = s, f }

// Counts returns the numbers of the roll-out.
func (j *Judge) Counts() Counts {
	return Counts{
		Requests: j.requestsBefore + j.requests, Granted: j.before + j.granted, Reserved: j.rollout.Reserved,
		Answers: j.answers, Bad: j.bad, OldAnswers: j.oldAnswers, OldBad: j.oldBad,
	}
}

// Share returns the share of the requests that go to the target.
func (j *Judge) Share() float64 {
	if j.InForce().Trusted {
		return 1
	}
	return j.share
}

// Before returns the reservation at the start of this judge, all of which counts as granted.
func (j *Judge) Before() int { return j.before }

// Allowance returns the number of requests that this leader may grant to the target before it is trusted.
func (j *Judge) Allowance() int { return max(j.rollout.Reserved-j.before, 0) }

// check rolls the version back as soon as the evidence shows that it is bad.
func (j *Judge) check() {
	if j.wanted == model.RolloutRolledBack || j.wanted == model.RolloutCompleted {
		return
	}
	switch {
	case j.total.rejects():
		j.rollBack("its answers are worse than those of the old version")
	case j.badOnARoute():
		j.rollBack("its answers on one route are worse than those of the old version")
	}
}

func (j *Judge) rollBack(reason string) {
	j.wanted, j.share, j.trust = model.RolloutRolledBack, 0, false
	j.note(Change{Advance: true, Phase: j.wanted, Reason: reason})
}

func (j *Judge) note(c Change) {
	c.Share, c.Counts = j.Share(), j.Counts()
	j.changes = append(j.changes, c)
}

// Tick makes the decisions that have become due.
func (j *Judge) Tick(now time.Time) {
	j.updateRate(now)
	j.releaseHeld(now)
	j.closeBatch(now)
	j.check()
	switch {
	case j.wanted != model.RolloutInProgress:
	case j.rollout.Trusted:
		j.tryComplete(now)
	case j.trust:
		// The trust is not committed yet.
	case j.elapsed(now) >= j.rollout.Duration:
		j.rollBack("its time ended before it was trusted")
	default:
		j.step(now)
	}
}

func (j *Judge) elapsed(now time.Time) time.Duration { return now.Sub(j.orderedAt) }

// updateRate updates the requests a second.
func (j *Judge) updateRate(now time.Time) {
	age := now.Sub(j.rateAt)
	if age < rateTime/10 {
		return
	}
	weight := min(age.Seconds()/rateTime.Seconds(), 1)
	j.rate += (float64(j.rateCount)/age.Seconds() - j.rate) * weight
	j.rateAt, j.rateCount = now, 0
}

// part returns a part of the duration of the roll-out.
func (j *Judge) part(share float64) time.Duration {
	return time.Duration(share * float64(j.rollout.Duration))
}

// trustTime returns the time after the order at which the target is to be trusted.
func (j *Judge) trustTime() time.Duration {
	return max(j.rollout.Duration-max(drainTime, j.part(drainShare)), j.part(earliestTrust))
}

// step sets the share of an untrusted target, or trusts it.
func (j *Judge) step(now time.Time) {
	elapsed, trustTime, trial := j.elapsed(now), j.trustTime(), min(j.part(trialShare), maxTrial)
	late := elapsed >= trustTime+j.part(lateShare) && now.Sub(j.startedAt) >= max(minObserved, j.part(lateShare))
	switch {
	case j.status.TargetServers == 0:
		j.setShare(0, "it has no usable server")
	case j.suspicious(), elapsed >= trustTime-trial && !j.acceptable():
		j.setShare(min(j.share, j.canary(now, startShare, startRate)), "bad answers are being examined")
	case elapsed >= trustTime && (late || j.answers >= enoughAnswers && 2*j.status.TargetSlots >= j.status.OldSlots):
		j.trust = true
		j.note(Change{Advance: true, Trusted: true, Reason: "its answers are as good as those of the old version"})
	case elapsed >= trustTime-trial/2 && j.answers >= enoughAnswers:
		j.setShare(1, "trial with all requests")
	case elapsed >= trustTime-trial && j.answers >= enoughAnswers:
		j.setShare(rampShare, "trial under load")
	case j.answers >= startAnswers:
		j.setShare(j.canary(now, canaryShare, canaryRate), "the first answers are good")
	default:
		j.setShare(j.canary(now, startShare, startRate), "start")
	}
}

// canary returns a share that amounts to a number of requests a second at least, and that the bounds allow until the
// trial. A larger one would spend the allowance on the routes with most requests.
func (j *Judge) canary(now time.Time, share, rate float64) float64 {
	if j.rate <= 0 {
		return share
	}
	left := max((j.trustTime() - j.elapsed(now)).Seconds(), 1)
	requests := float64(j.requestsBefore+j.requests) + j.rate*left
	allowed := canaryMargin*(j.limits.Share*requests+float64(j.limits.Slack)) - float64(j.Counts().Granted)
	return min(max(share, rate/j.rate), max(allowed/left/j.rate, startShare/2), 0.5)
}

// setShare sets the share, and notes a change by more than a fifth.
func (j *Judge) setShare(share float64, reason string) {
	changed := math.Abs(share-j.share) > 0.2*max(share, j.share)
	j.share = share
	if changed {
		j.note(Change{Reason: reason})
	}
}

// tryComplete completes a trusted roll-out once nothing runs or can be granted on the old version.
func (j *Judge) tryComplete(now time.Time) {
	if now.Sub(j.trustedAt) < max(minTrusted, j.part(minTrustedShare)) || j.suspicious() || j.status.TargetServers == 0 ||
		j.status.OldRunning > 0 || j.fleet.Lost > 0 || j.fleet.Confirmed < j.trustGeneration {
		return
	}
	j.wanted = model.RolloutCompleted
	j.note(Change{Advance: true, Phase: j.wanted, Trusted: true, Reason: "nothing runs on the old version"})
}

// cap returns the number of requests that the target may have got by now while it is not trusted.
func (j *Judge) cap(now time.Time) int {
	requests, margin := float64(j.requestsBefore+j.requests), canaryMargin
	if j.share >= rampShare && j.answers >= enoughAnswers {
		margin = capMargin
		requests += futureMargin * j.rate * max(j.rollout.Duration-j.elapsed(now), 0).Seconds()
	}
	return int(margin * (j.limits.Share*requests + float64(j.limits.Slack)))
}

// Propose returns the next change to commit, if there is one.
func (j *Judge) Propose(now time.Time) (Proposal, bool) {
	counts := j.Counts()
	p := Proposal{
		Service: j.rollout.Service, Generation: j.rollout.Generation, Phase: j.wanted, Trusted: j.trust,
		Requests: counts.Requests, Reserved: counts.Reserved,
		Elapsed: j.elapsed(now), At: now, Evidence: int(j.against() * evidenceUnit),
	}
	switch {
	case j.rollout.Ended():
		return p, false
	case j.wanted != model.RolloutInProgress, j.trust != j.rollout.Trusted:
		return p, true
	case now.Sub(j.updatedAt) >= refreshInterval, p.Evidence > j.rollout.Evidence+refreshEvidence*evidenceUnit:
		return p, true
	case j.rollout.Trusted || j.share <= 0:
		return p, false
	}
	chunk := max(minChunk, int(j.share*j.rate*chunkTime.Seconds()))
	if counts.Granted+chunk/2 <= counts.Reserved {
		return p, false
	}
	p.Reserved = min(counts.Reserved+chunk, j.cap(now))
	return p, p.Reserved > counts.Reserved
}
