package main

import (
	"context"

	"briaryard/internal/operator"
)

type votersCommands struct {
	List   votersListCommand   `cmd:"" help:"List the voters and the leader."`
	Add    votersAddCommand    `cmd:"" help:"Make an instance with a data folder a voter, after it has caught up as a learner."`
	Remove votersRemoveCommand `cmd:"" help:"Remove a voter, for example a lost machine."`
}

type votersListCommand struct{ remote }

// Run implements the command.
func (c *votersListCommand) Run(p *printer) error {
	var v operator.Voters
	if err := c.client().Get(context.Background(), operator.PathVoters, &v); err != nil {
		return err
	}
	return p.answer(v, func() {
		for _, name := range v.Voters {
			if name == v.Leader {
				name += " (leader)"
			}
			p.line("%s", name)
		}
	})
}

// voterChange is the part that add and remove share.
type voterChange struct {
	remote
	Instance string `arg:"" help:"Name of the instance."`
}

func (c *voterChange) send(p *printer, remove bool) error {
	change := operator.VoterChange{Instance: c.Instance, Remove: remove}
	if err := c.client().Post(context.Background(), operator.PathVoters, change, &change); err != nil {
		return err
	}
	return p.answer(change, func() { p.line("accepted; briaryard voters list shows the result") })
}

type votersAddCommand struct{ voterChange }

// Run implements the command.
func (c *votersAddCommand) Run(p *printer) error { return c.send(p, false) }

type votersRemoveCommand struct{ voterChange }

// Run implements the command.
func (c *votersRemoveCommand) Run(p *printer) error { return c.send(p, true) }
