package state

import (
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Command is a change of the state, or a read such as Lookup, which changes nothing. Commands
// are idempotent: applying one a second time has no further effect.
type Command interface{ command() }

// Claim reserves a key for one attempt just before it is dispatched.
type Claim struct {
	Key model.KeyHash
	// Team is empty in log entries that predate the field.
	Team        model.TeamID
	Fingerprint model.Fingerprint
	Request     model.RequestID
	// SeenIndex is the log index at which the attempt learned that the key had no claim.
	SeenIndex uint64
}

// Finish records the outcome of a claimed request.
type Finish struct {
	Key     model.KeyHash
	Request model.RequestID
	// Answer is nil if the answer is larger than Limits.AnswerBytes.
	Answer *model.Answer
}

// Abandon marks a held claim as unknown: its request was sent and its answer was interrupted.
type Abandon struct {
	Key     model.KeyHash
	Request model.RequestID
}

// Release removes the claim of a request that provably did not run, before not_run is returned
// to the caller.
type Release struct {
	Key     model.KeyHash
	Request model.RequestID
}

// Refuse sets a barrier before not_run is returned for a keyed request that holds no claim, so
// that attempts that began earlier can no longer claim the key.
type Refuse struct {
	Key     model.KeyHash
	Request model.RequestID
}

// Lookup reads the claim of a key.
type Lookup struct {
	Key         model.KeyHash
	Fingerprint model.Fingerprint
}

// Await is a Lookup that is answered once the claim is no longer held, or after a timeout.
type Await struct{ Lookup }

// OwnerDead marks the claims that an instance holds as unknown if they are from the given
// incarnation or an earlier one.
type OwnerDead struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
}

// ApplyConfig proposes a configuration.
type ApplyConfig struct {
	// ChangeID identifies the change; a resent change has the same id and content.
	ChangeID string
	// Base is the revision on which the change is based; it must be the current one.
	Base model.Revision
	// Number is the revision that the change proposes; it must be above the current one.
	Number   model.Revision
	Operator string
	Content  []byte
}

// ReplaceConfig proposes a complete configuration. The highest number is in force: a number that
// is not above the current one is acknowledged and changes nothing, whatever its content.
type ReplaceConfig struct {
	Number  model.Revision
	Content []byte
}

// ReadConfig reads the configuration in force.
type ReadConfig struct{}

// StartRollout orders a roll-out.
type StartRollout struct {
	Service  model.PoolID
	Target   string
	Duration time.Duration
	// At is the wall clock of the instance that received the order.
	At time.Time
}

// ReadRollout reads the last roll-out of a service.
type ReadRollout struct{ Service model.PoolID }

// AdvanceRollout changes the roll-out in progress of a service if its last change is Generation, so that a
// leader that has been replaced changes nothing.
type AdvanceRollout struct {
	Service    model.PoolID
	Generation uint64
	Phase      model.RolloutPhase
	Trusted    bool
	// Requests and Reserved replace lower values; see model.Rollout.
	Requests, Reserved int
	// Elapsed is the time since the order; it replaces a lower value. At is the wall clock of the leader.
	Elapsed time.Duration
	At      time.Time
	// Evidence replaces the former value; see model.Rollout.
	Evidence int
}

// AcquireLease assigns a lease to an instance and increments its epoch.
type AcquireLease struct {
	Name        string
	Holder      model.InstanceID
	Incarnation model.Incarnation
	// ExpectedEpoch is the expected current epoch of the lease; on a mismatch the lease is unchanged.
	ExpectedEpoch model.Epoch
}

// ReleaseLease removes the holder of a lease if the lease still has the epoch.
type ReleaseLease struct {
	Name  string
	Epoch model.Epoch
}

// ChangeVoters adds an instance to the voters of the control group or removes it. The control
// group executes it; the set of voters is not part of this state.
type ChangeVoters struct {
	Instance model.InstanceID
	Remove   bool
}

// ListChanges reads a page of the accepted changes without their content: the newest ones below
// the revision Before, or the newest of all if it is zero.
type ListChanges struct{ Before model.Revision }

func (Claim) command()         {}
func (Finish) command()        {}
func (Abandon) command()       {}
func (Release) command()       {}
func (Refuse) command()        {}
func (Lookup) command()        {}
func (Await) command()         {}
func (OwnerDead) command()     {}
func (ApplyConfig) command()   {}
func (AcquireLease) command()  {}
func (ReleaseLease) command()  {}
func (ChangeVoters) command()  {}
func (ListChanges) command()   {}
func (ReplaceConfig) command() {}
func (ReadConfig) command()    {}

func (StartRollout) command()   {}
func (ReadRollout) command()    {}
func (AdvanceRollout) command() {}

// ClaimStatus is the status of a claim, or the result of a command about a key.
type ClaimStatus uint8

// Claim statuses.
const (
	// ClaimNone means that the key has no claim, or for Finish and Abandon, none of the request.
	ClaimNone ClaimStatus = iota
	// ClaimWon means that the attempt holds the claim.
	ClaimWon
	// ClaimHeld means that another attempt holds the claim and has not ended.
	ClaimHeld
	// ClaimFinished means that the request ran; Answer is nil if it is not retained.
	ClaimFinished
	// ClaimUnknown means that the owner died or abandoned the claim, and the request may have run.
	ClaimUnknown
	// ClaimMismatch means that the key belongs to a request with another fingerprint.
	ClaimMismatch
	// ClaimSuperseded means that the key was refused after the attempt began.
	ClaimSuperseded
	// ClaimFull means that there is no capacity for another claim of the team.
	ClaimFull
)

// String returns the status's name.
func (s ClaimStatus) String() string {
	return [...]string{"none", "won", "held", "finished", "unknown", "mismatch", "superseded", "full"}[min(s, ClaimFull)]
}

// Lease is a lease; its epoch is the fencing token. Holder is empty after a release.
type Lease struct {
	Name        string
	Holder      model.InstanceID
	Incarnation model.Incarnation
	Epoch       model.Epoch
}

// AcceptedConfig is an accepted configuration.
type AcceptedConfig struct {
	Revision model.Revision
	ChangeID string
	Operator string
	At       time.Time
	Content  []byte
}

// Result is the result of a command. Only the fields that the command concerns are set.
type Result struct {
	// Index is the log index of the command, or of the last applied entry for a Lookup.
	Index  uint64
	Claim  ClaimStatus
	Answer *model.Answer
	Lease  Lease
	// Revision is the accepted revision.
	Revision model.Revision
	// Changes is the page returned for a ListChanges, oldest first; HasOlder reports whether older
	// changes exist. For a ReadConfig it is the configuration in force, with its content.
	Changes  []AcceptedConfig
	HasOlder bool
	// Rollout is the roll-out that the command concerns, after the command.
	Rollout *model.Rollout
	// Err is set when the command was refused.
	Err fault.Fault
}

// Name returns the name of a command for messages to operators.
func Name(c Command) string {
	switch c.(type) {
	case Claim:
		return "Claim"
	case Finish:
		return "Finish"
	case Abandon:
		return "Abandon"
	case Release:
		return "Release"
	case Refuse:
		return "Refuse"
	case Lookup:
		return "Lookup"
	case Await:
		return "Await"
	case OwnerDead:
		return "OwnerDead"
	case ApplyConfig:
		return "ApplyConfig"
	case ReplaceConfig:
		return "ReplaceConfig"
	case ReadConfig:
		return "ReadConfig"
	case StartRollout:
		return "StartRollout"
	case ReadRollout:
		return "ReadRollout"
	case AdvanceRollout:
		return "AdvanceRollout"
	case AcquireLease:
		return "AcquireLease"
	case ReleaseLease:
		return "ReleaseLease"
	case ChangeVoters:
		return "ChangeVoters"
	case ListChanges:
		return "ListChanges"
	}
	return "unknown command"
}
