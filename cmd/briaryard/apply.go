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
	files
	remote
	Operator string        `help:"Name of the person who answers for the change." env:"USER" required:""`
	Base     *uint64       `help:"Revision that the change was made for; another one in force is a conflict. The default is the revision in force now."`
	ChangeID string        `help:"Id of the change. The default is made from base, operator and content, so that running the same command again is safe."`
	Wait     bool          `help:"Wait until each live instance has the change in force or has stopped taking work."`
	Timeout  time.Duration `help:"How long to wait with --wait." default:"30s"`
}

const (
	// sendAttempts and sendPause outlast the election of a new leader, which takes up to 1 s.
	sendAttempts = 5
	sendPause    = time.Second
	// pollInterval matches the heartbeat that carries the confirmations.
	pollInterval = 250 * time.Millisecond
)

// applyAnswer is the answer for programs.
type applyAnswer struct {
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
	var answer applyAnswer
	if answer.Differences, err = difference(current, content); err != nil {
		return err
	}
	if !p.json {
		p.differences(current.Revision, answer.Differences)
	}
	// A withdrawn instance may not know the newest revision, so the control group decides.
	if len(answer.Differences) == 0 && !current.Withdrawn && (c.Base == nil || *c.Base <= current.Revision) {
		answer.Unchanged = true
		answer.Applied = operator.Applied{Revision: current.Revision, ChangeID: current.ChangeID}
	} else if err := c.send(ctx, p, current.Revision, content, &answer.Applied); err != nil {
		return err
	}
	if c.Wait {
		if err := c.wait(ctx, p, answer.Revision); err != nil {
			return err
		}
		answer.Confirmed = true
	}
	return p.answer(answer, func() {
		if answer.Unchanged {
			p.line("nothing to apply: revision %d has this content", answer.Revision)
			return
		}
		p.line("accepted as revision %d (change %s)", answer.Revision, answer.ChangeID)
	})
}

// send proposes the change. An answer that was lost is asked for again with the same id.
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
		if err == nil || attempt == sendAttempts || !repeatable(err) {
			return err
		}
		p.progress("no answer (%v); sending change %s again, attempt %d of %d", err, change.ChangeID, attempt+1, sendAttempts)
		pause(sendPause)
	}
}

// repeatable reports whether a failure leaves open if the change was accepted.
func repeatable(err error) bool {
	switch fault.Of(err).Code() {
	case fault.CodeOperatorUnreachable, fault.CodeControlUnavailable, fault.CodeOverloaded:
		return true
	}
	return false
}

// changeID depends on everything that makes a change another one.
func changeID(a operator.Apply) string {
	digest := sha256.Sum256(fmt.Appendf(nil, "%d\n%q\n%s", a.Base, a.Operator, a.Content))
	return hex.EncodeToString(digest[:8])
}

// wait returns when each live instance has confirmed the revision or takes no new work.
func (c *applyCommand) wait(ctx context.Context, p *printer, revision uint64) error {
	deadline := time.Now().Add(c.Timeout)
	shown := ""
	for {
		var s operator.Status
		err := c.client().Get(ctx, operator.PathStatus, &s)
		missing, total := unconfirmed(s, revision)
		if err == nil && total > 0 {
			text := fmt.Sprintf("revision %d: %d of %d instances confirmed", revision, total-len(missing), total)
			if text != shown {
				p.progress("%s", text)
				shown = text
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
		pause(pollInterval)
	}
}

// unconfirmed lists the live instances that work with an older revision, and counts all
// live instances.
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

func pause(d time.Duration) { <-time.After(d) }
