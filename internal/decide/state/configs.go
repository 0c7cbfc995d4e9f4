package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// ChangesPerPage bounds the result of a ListChanges: with names of at most 1 KiB each, a page
// stays below 1 MiB.
const ChangesPerPage = 256

// configs holds the configuration in force and the history of changes. Invariant: the revision
// only increases, and at most one change is accepted for each number.
type configs struct {
	current AcceptedConfig
	// history lists accepted changes without content, oldest first.
	history []Change
	// accepted indexes history by change id, winners by revision.
	accepted map[string]Change
	winners  map[model.Revision]Change
	// refused lists the refused changes with their results, oldest first, and refusals indexes
	// them by digest, so that a resent change gets the same result.
	refused  []RefusedChange
	refusals map[Digest]fault.ConfigConflict
}

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// Change is an accepted change without its content.
type Change struct {
	AcceptedConfig
	// Digest is the digest of the content.
	Digest Digest
}

// RefusedChange is the first result of a change that was refused because of a conflict.
type RefusedChange struct {
	// Digest covers the id, base, number and content of the change.
	Digest   Digest
	Conflict fault.ConfigConflict
}

func newConfigs() configs {
	return configs{
		accepted: make(map[string]Change),
		winners:  make(map[model.Revision]Change),
		refusals: make(map[Digest]fault.ConfigConflict),
	}
}

// apply accepts a change whose base is the current revision and whose number is above it. A
// resent change gets its first result.
func (c *configs) apply(cmd ApplyConfig, now time.Time, limits Limits) Result {
	digest := Digest(sha256.Sum256(cmd.Content))
	if earlier, ok := c.accepted[cmd.ChangeID]; ok {
		if earlier.Digest != digest {
			return Result{Err: &fault.ChangeReused{ChangeID: cmd.ChangeID}}
		}
		return Result{Revision: earlier.Revision}
	}
	proposal := proposalDigest(cmd, digest)
	if first, ok := c.refusals[proposal]; ok {
		return Result{Revision: first.Current, Err: &first}
	}
	if cmd.Base != c.current.Revision || cmd.Number <= c.current.Revision {
		conflict := c.conflict(cmd.Number)
		c.refuse(RefusedChange{Digest: proposal, Conflict: conflict}, limits)
		return Result{Revision: conflict.Current, Err: &conflict}
	}
	c.current = AcceptedConfig{
		Revision: cmd.Number,
		ChangeID: cmd.ChangeID,
		Operator: cmd.Operator,
		At:       now,
		Content:  cmd.Content,
	}
	c.accept(Change{AcceptedConfig: c.current, Digest: digest}, limits)
	return Result{Revision: cmd.Number}
}

// replace accepts a configuration if its number is above the current revision.
func (c *configs) replace(cmd ReplaceConfig, now time.Time) Result {
	if cmd.Number > c.current.Revision {
		c.current = AcceptedConfig{Revision: cmd.Number, At: now, Content: cmd.Content}
	}
	return Result{Revision: c.current.Revision}
}

// conflict describes the change that won a number, or the one in force if no change in the
// history has that number.
func (c *configs) conflict(number model.Revision) fault.ConfigConflict {
	winner, ok := c.winners[number]
	if !ok {
		winner.AcceptedConfig = c.current
	}
	return fault.ConfigConflict{
		Number: number, Current: c.current.Revision,
		WinnerChange: winner.ChangeID, WinnerOperator: winner.Operator,
	}
}

// accept adds a change to the history without its content and removes the oldest beyond the
// limit.
func (c *configs) accept(change Change, limits Limits) {
	change.Content = nil
	c.history = append(c.history, change)
	c.accepted[change.ChangeID] = change
	c.winners[change.Revision] = change
	if len(c.history) > limits.Changes {
		delete(c.accepted, c.history[0].ChangeID)
		delete(c.winners, c.history[0].Revision)
		c.history = c.history[1:]
	}
}

// refuse records the result of a refused change and removes the oldest beyond the limit.
func (c *configs) refuse(r RefusedChange, limits Limits) {
	c.refused = append(c.refused, r)
	c.refusals[r.Digest] = r.Conflict
	if len(c.refused) > limits.Changes {
		delete(c.refusals, c.refused[0].Digest)
		c.refused = c.refused[1:]
	}
}

// list returns the newest page of the history below a revision, or of the whole history if it is
// zero. Revisions only increase, so a change accepted between two reads does not shift the older
// pages.
func (c *configs) list(before model.Revision) Result {
	end := len(c.history)
	if before > 0 {
		end, _ = slices.BinarySearchFunc(c.history, before, func(h Change, r model.Revision) int { return cmp.Compare(h.Revision, r) })
	}
	begin := max(0, end-ChangesPerPage)
	r := Result{Older: begin > 0}
	for i := range c.history[begin:end] {
		r.Changes = append(r.Changes, c.history[begin+i].AcceptedConfig)
	}
	return r
}

// proposalDigest identifies a proposal. A change that is proposed again on another base has
// another digest and is evaluated again.
func proposalDigest(cmd ApplyConfig, content Digest) Digest {
	b := binary.BigEndian.AppendUint64(nil, uint64(cmd.Base))
	b = binary.BigEndian.AppendUint64(b, uint64(cmd.Number))
	b = append(b, content[:]...)
	return sha256.Sum256(append(b, cmd.ChangeID...))
}
