package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"briaryard/internal/declare"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/operator"
)

type applyCommand struct {
	configFiles
	operatorFlags
	Operator string        `help:"Name of the person who is responsible for the change." env:"USER" required:""`
	Base     *uint64       `help:"Revision that the change is based on; if another one is in force, the change conflicts. The default is the revision in force now."`
	ChangeID string        `help:"Id of the change. The default is derived from base, operator and content, so that running the same command again is safe."`
	Wait     bool          `help:"Wait until each live instance has the change in force or takes no new requests."`
	Timeout  time.Duration `help:"Longest wait with --wait." default:"30s"`
}

const (
	// sendAttempts at intervals of sendPause outlast a leader election, which takes up to 1 s.
	sendAttempts = 5
	sendPause    = time.Second
	// pollInterval equals the interval of the heartbeats that carry the confirmations.
	pollInterval = 250 * time.Millisecond
)

// applyResult is the JSON result of the apply command.
type applyResult struct {
	operator.Applied
	Unchanged   bool                 `json:"unchanged"`
	Confirmed   bool                 `json:"confirmed"`
	Differences []declare.Difference `json:"differences"`
}

// Run implements the command.
func (c *applyCommand) Run(p *printer) error {
	ctx := context.Background()
	_, content, err := c.check()
	if err != nil {
		return err
	}
	var current operator.Config
	if err := c.client().Get(ctx, operator.PathConfig, &current); err != nil {
		return err
	}
	var result applyResult
	if result.Differences, err = diffAgainst(current, content); err != nil {
		return err
	}
	if !p.json {
		p.printDifferences(current.Revision, result.Differences)
	}
	// A withdrawn instance may not know the newest revision. The change is sent even if it is
	// equal to the known one, and the control group decides.
	if len(result.Differences) == 0 && !current.Withdrawn && (c.Base == nil || *c.Base <= current.Revision) {
		result.Unchanged = true
		result.Applied = operator.Applied{Revision: current.Revision, ChangeID: current.ChangeID}
	} else if err := c.send(ctx, p, current.Revision, content, &result.Applied); err != nil {
		return err
	}
	if c.Wait {
		if err := c.waitConfirmed(ctx, p, result.Revision); err != nil {
			return err
		}
		result.Confirmed = true
	}
	return p.writeResult(result, func() {
		if result.Unchanged {
			p.line("nothing to apply: revision %d has this content", result.Revision)
			return
		}
		p.line("accepted as revision %d (change %s)", result.Revision, result.ChangeID)
	})
}

// send proposes the change. If the answer is lost, it sends the change again with the same id.
func (c *applyCommand) send(ctx context.Context, p *printer, base uint64, content []byte, into *operator.Applied) error {
	if c.Base != nil {
		base = *c.Base
	}
	change := operator.Apply{ChangeID: c.ChangeID, Base: base, Number: base + 1, Operator: c.Operator, Content: string(content)}
	if change.ChangeID == "" {
		change.ChangeID = changeID(change)
	}
	p.progress("sending change %s", change.ChangeID)
	for attempt := 1; ; attempt++ {
		err := c.client().Post(ctx, operator.PathConfig, change, into)
		if err == nil || attempt == sendAttempts || !retryable(err) {
			return err
		}
		p.progress("no answer (%v); sending change %s again, attempt %d of %d", err, change.ChangeID, attempt+1, sendAttempts)
		sleep(sendPause)
	}
}

// retryable reports whether the same change is to be sent again: the failure does not tell whether
// it was accepted, or the endpoint was overloaded.
func retryable(err error) bool {
	switch fault.Of(err).Code() {
	case fault.CodeOperatorUnreachable, fault.CodeControlUnavailable, fault.CodeOverloaded:
		return true
	}
	return false
}

// changeID derives the id of a change from its base, operator and content, so that equal changes
// have equal ids.
func changeID(a operator.Apply) string {
	digest := sha256.Sum256(fmt.Appendf(nil, "%d\n%q\n%s", a.Base, a.Operator, a.Content))
	return hex.EncodeToString(digest[:8])
}

// waitConfirmed waits until each live instance has confirmed the revision or takes no new requests.
// After the timeout it returns fault.NotConfirmed with the missing instances.
func (c *applyCommand) waitConfirmed(ctx context.Context, p *printer, revision uint64) error {
	deadline := time.Now().Add(c.Timeout)
	lastShown := ""
	for {
		var s operator.Status
		err := c.client().Get(ctx, operator.PathStatus, &s)
		missing, total := unconfirmed(s, revision)
		if err == nil && total > 0 {
			text := fmt.Sprintf("revision %d: %d of %d instances confirmed", revision, total-len(missing), total)
			if text != lastShown {
				p.progress("%s", text)
				lastShown = text
			}
			if len(missing) == 0 {
				return nil
			}
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return &fault.NotConfirmed{Revision: model.Revision(revision), Instances: missing}
		}
		sleep(pollInterval)
	}
}

// unconfirmed returns the instances that take requests under an older revision, and the number of
// all instances that are not gone.
func unconfirmed(s operator.Status, revision uint64) (missing []string, total int) {
	confirmed := make(map[string]operator.Confirmation)
	for _, c := range s.Confirmed {
		confirmed[c.Instance] = c
	}
	for _, i := range s.Instances {
		if i.State == model.Gone.String() {
			continue
		}
		total++
		c := confirmed[i.ID]
		stopped := c.Stopping || i.Withdrawn || i.State == model.Leaving.String()
		if c.Revision < revision && !stopped {
			missing = append(missing, i.ID)
		}
	}
	return missing, total
}

func sleep(d time.Duration) { <-time.After(d) }
