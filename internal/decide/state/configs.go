package state

import (
	"crypto/sha256"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// configs holds the accepted configurations. Invariant: the revision only grows, and at
// most one change is accepted for each number.
type configs struct {
	current AcceptedConfig
	// history lists accepted changes without content, oldest first.
	history []AcceptedConfig
	// digests holds the content digest of each change in history by change id.
	digests map[string]changeDigest
}

type changeDigest struct {
	content  [sha256.Size]byte
	revision model.Revision
}

func newConfigs() configs { return configs{digests: make(map[string]changeDigest)} }

func (c *configs) apply(cmd ApplyConfig, now time.Time, limits Limits) Result {
	digest := sha256.Sum256(cmd.Content)
	if earlier, ok := c.digests[cmd.ChangeID]; ok {
		if earlier.content != digest {
			return Result{Err: &fault.ChangeReused{ChangeID: cmd.ChangeID}}
		}
		return Result{Revision: earlier.revision}
	}
	if cmd.Base != c.current.Revision || cmd.Number <= c.current.Revision {
		return Result{Revision: c.current.Revision, Err: &fault.ConfigConflict{
			Number:         cmd.Number,
			Current:        c.current.Revision,
			WinnerChange:   c.current.ChangeID,
			WinnerOperator: c.current.Operator,
		}}
	}
	c.current = AcceptedConfig{
		Revision: cmd.Number,
		ChangeID: cmd.ChangeID,
		Operator: cmd.Operator,
		At:       now,
		Content:  cmd.Content,
	}
	c.remember(digest, limits)
	return Result{Revision: cmd.Number}
}

func (c *configs) remember(digest [sha256.Size]byte, limits Limits) {
	entry := c.current
	entry.Content = nil
	c.history = append(c.history, entry)
	c.digests[entry.ChangeID] = changeDigest{content: digest, revision: entry.Revision}
	if len(c.history) > limits.Changes {
		delete(c.digests, c.history[0].ChangeID)
		c.history = c.history[1:]
	}
}
