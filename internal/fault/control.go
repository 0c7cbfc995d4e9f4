package fault

import (
	"fmt"
	"net/http"
	"time"

	"briaryard/internal/model"
)

// Codes of failures of the control group and of configuration changes.
var (
	CodeControlUnavailable = register("control-unavailable", "Control group cannot be reached", http.StatusServiceUnavailable, model.MayHaveRun, ExitUnavailable)
	CodeClaimsFull         = register("claims-full", "No room for another idempotency key", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeConfigConflict     = register("config-conflict", "Another change was accepted first", http.StatusConflict, model.NotRun, ExitConflict)
	CodeDataFolder         = register("data-folder", "Data folder cannot be used", http.StatusInternalServerError, model.NotRun, ExitUsage)
	CodeVoterFailed        = register("voter-failed", "Voter cannot make its log durable", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodeChangeReused       = register("change-id-reused", "Change id was used for another content", http.StatusConflict, model.NotRun, ExitConflict)
	CodeLastVoter          = register("last-voter", "Last voter cannot be removed", http.StatusConflict, model.NotRun, ExitConflict)
	CodeQuorumLost         = register("voter-quorum-lost", "Voters that remain could not decide anything", http.StatusConflict, model.NotRun, ExitConflict)
	CodeVoterChange        = register("voter-change-in-progress", "Another change of the voters is in progress", http.StatusConflict, model.NotRun, ExitConflict)
	CodeUnknownVoter       = register("unknown-voter", "Instance is not known to the control group", http.StatusNotFound, model.NotRun, ExitConflict)
)

// ControlUnavailable reports that no quorum of the control group answered in time.
type ControlUnavailable struct{ Operation string }

// Code implements Fault.
func (e *ControlUnavailable) Code() Code { return CodeControlUnavailable }
func (e *ControlUnavailable) Error() string {
	return "the control group did not answer " + e.Operation + " in time"
}

// RetryAfter implements Retryable.
func (e *ControlUnavailable) RetryAfter() time.Duration { return time.Second }

// ClaimsFull reports a claim of an idempotency key that was rejected because the claim table is
// full or the team holds as many claims as it may.
type ClaimsFull struct {
	// Team is empty for a claim without a team, which is rejected only if the table is full.
	Team model.TeamID
	// Held is the number of claims of the team. It has reached Bound, the number of free
	// entries in the table.
	Held, Bound int
	// Limit is the capacity of the table.
	Limit int
}

// Code implements Fault.
func (e *ClaimsFull) Code() Code { return CodeClaimsFull }
func (e *ClaimsFull) Error() string {
	if e.Team == "" {
		return fmt.Sprintf("the table of %d claims is full", e.Limit)
	}
	return fmt.Sprintf("team %q holds %d of %d claims and its bound, the number of free places, is %d",
		e.Team, e.Held, e.Limit, e.Bound)
}

// RetryAfter implements Retryable.
func (e *ClaimsFull) RetryAfter() time.Duration { return time.Minute }

// ConfigConflict reports a configuration change that was rejected because another one was accepted
// first. It identifies the accepted change and its operator.
type ConfigConflict struct {
	Number         model.Revision
	Current        model.Revision
	WinnerChange   string
	WinnerOperator string
}

// Code implements Fault.
func (e *ConfigConflict) Code() Code { return CodeConfigConflict }
func (e *ConfigConflict) Error() string {
	return fmt.Sprintf("change number %d conflicts: revision %d by change %q of operator %q is in force",
		e.Number, e.Current, e.WinnerChange, e.WinnerOperator)
}

// ChangeReused reports a change id that was already used for a change with different content.
type ChangeReused struct{ ChangeID string }

// Code implements Fault.
func (e *ChangeReused) Code() Code { return CodeChangeReused }
func (e *ChangeReused) Error() string {
	return fmt.Sprintf("change id %q was used for another content", e.ChangeID)
}

// ForeignFolder reports a data folder that belongs to another instance.
type ForeignFolder struct {
	Folder string
	Owner  model.InstanceID
	Self   model.InstanceID
}

// Code implements Fault.
func (e *ForeignFolder) Code() Code { return CodeDataFolder }
func (e *ForeignFolder) Error() string {
	return fmt.Sprintf("data folder %s belongs to instance %q, not to %q", e.Folder, e.Owner, e.Self)
}

// UnusableFolder reports a data folder that is damaged or cannot be read or written.
type UnusableFolder struct {
	Folder string
	Err    error
}

// Code implements Fault.
func (e *UnusableFolder) Code() Code { return CodeDataFolder }
func (e *UnusableFolder) Error() string {
	return fmt.Sprintf("data folder %s cannot be used: %v", e.Folder, e.Err)
}

// Unwrap returns the cause.
func (e *UnusableFolder) Unwrap() error { return e.Err }

// VoterFailed reports a voter that stopped voting because its log could not be synced.
type VoterFailed struct{ Err error }

// Code implements Fault.
func (e *VoterFailed) Code() Code    { return CodeVoterFailed }
func (e *VoterFailed) Error() string { return "the voter has stopped voting: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *VoterFailed) Unwrap() error { return e.Err }

// LastVoter reports a rejected removal of the only voter.
type LastVoter struct{ Instance model.InstanceID }

// Code implements Fault.
func (e *LastVoter) Code() Code { return CodeLastVoter }
func (e *LastVoter) Error() string {
	return fmt.Sprintf("instance %q is the last voter of the control group", e.Instance)
}

// QuorumLost reports the removal of a voter that was rejected because too few of the remaining
// voters are reachable to form a quorum.
type QuorumLost struct {
	Instance model.InstanceID
	// Needed is the quorum of the remaining voters. Reachable is the number of them that answer;
	// Silent lists those that do not.
	Needed, Reachable int
	Silent            []model.InstanceID
}

// Code implements Fault.
func (e *QuorumLost) Code() Code { return CodeQuorumLost }
func (e *QuorumLost) Error() string {
	return fmt.Sprintf("without voter %q, %d voters would have to answer and only %d do; no answer from %q",
		e.Instance, e.Needed, e.Reachable, e.Silent)
}

// VoterChangeInProgress reports a change of the voters that was rejected because an earlier one is
// not committed yet.
type VoterChangeInProgress struct{ Instance model.InstanceID }

// Code implements Fault.
func (e *VoterChangeInProgress) Code() Code { return CodeVoterChange }
func (e *VoterChangeInProgress) Error() string {
	return fmt.Sprintf("the change of voter %q waits for another change", e.Instance)
}

// RetryAfter implements Retryable.
func (e *VoterChangeInProgress) RetryAfter() time.Duration { return time.Second }

// UnknownVoter reports an instance that is not a member of the control group, or that did not
// request to join it.
type UnknownVoter struct{ Instance model.InstanceID }

// Code implements Fault.
func (e *UnknownVoter) Code() Code { return CodeUnknownVoter }
func (e *UnknownVoter) Error() string {
	return fmt.Sprintf("instance %q is no member of the control group, or does not run with a data folder", e.Instance)
}
