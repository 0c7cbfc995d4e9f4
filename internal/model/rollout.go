package model

import (
	"hash/fnv"
	"slices"
	"time"
)

// RolloutPhase is the state of a roll-out.
type RolloutPhase uint8

// Phases of a roll-out. The last two are final.
const (
	RolloutInProgress RolloutPhase = iota
	RolloutCompleted
	RolloutRolledBack
)

// String returns the phase's name.
func (p RolloutPhase) String() string {
	return [...]string{"in_progress", "completed", "rolled_back"}[min(p, RolloutRolledBack)]
}

// Rollout moves the traffic of a service to the servers of the version Target.
type Rollout struct {
	Service PoolID
	Target  string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Number is the log index of the order, and Generation that of the last change.
	Number, Generation uint64
	Phase              RolloutPhase
	// Trusted is set while all requests go to the target, before the roll-out is completed.
	Trusted bool
	// Elapsed is the time from the order to the last change, as measured by the leaders. It counts no time in which
	// no member of the control group ran.
	Elapsed time.Duration
	// ChangedAt is when the instance that proposed the last change did so, by its wall clock.
	ChangedAt time.Time
	// Requests counts the requests of the service that were granted since the order, at least, and Reserved
	// those that may have been granted to the target before it was trusted, at most.
	Requests, Reserved int
	// Evidence is the evidence against the target that the leader had at the last change, in thousandths of the
	// logarithm of a likelihood ratio.
	Evidence int
	// Base is the version that the last completed roll-out of the service moved to, or empty.
	Base string
	// Rejected lists the versions that were rolled back, oldest first.
	Rejected []string
}

// Ended reports whether the roll-out is in a final phase.
func (r Rollout) Ended() bool { return r.Phase != RolloutInProgress }

// VersionClass orders the versions of the servers of a service by preference.
type VersionClass uint8

// Classes of versions, the preferred one first.
const (
	// VersionTrusted is the version of the last completed roll-out, or any version but the target and the
	// rejected ones before the first.
	VersionTrusted VersionClass = iota
	// VersionOther is a version that no roll-out concerned.
	VersionOther
	// VersionRejected is a version that was rolled back.
	VersionRejected
	// VersionTarget is the target of a roll-out in progress.
	VersionTarget
)

// Class returns the class of a version.
func (r Rollout) Class(version string) VersionClass {
	switch {
	case version == r.Target && !r.Ended():
		return VersionTarget
	case slices.Contains(r.Rejected, version):
		return VersionRejected
	case r.Base != "" && version != r.Base:
		return VersionOther
	}
	return VersionTrusted
}

// MaxVersionBytes bounds the name of a version of a server.
const MaxVersionBytes = 128

// RouteHash identifies a route in statistics. Equal hashes of two routes only merge their statistics.
func RouteHash(name string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	// 14 bits take two bytes in a message.
	return uint16(h.Sum32() & (1<<14 - 1))
}
