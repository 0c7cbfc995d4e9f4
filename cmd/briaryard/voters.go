package main

import (
	"context"

	"briaryard/internal/operator"
)

type votersCommands struct {
	List   votersListCommand   `cmd:"" help:"List the voters and the leader."`
	Add    votersAddCommand    `cmd:"" help:"Make an instance with a data folder a voter; it first catches up as a learner."`
	Remove votersRemoveCommand `cmd:"" help:"Remove a voter, for example a lost machine."`
}

type votersListCommand struct{ operatorFlags }

// Run implements the command.
func (c *votersListCommand) Run(p *printer) error {
	var v operator.Voters
	if err := c.client().Get(context.Background(), operator.PathVoters, &v); err != nil {
		return err
	}
	return p.writeResult(v, func() {
		for _, name := range v.Voters {
			if name == v.Leader {
				name += " (leader)"
			}
			p.line("%s", name)
		}
	})
}

// voterChangeCommand holds the flags of the add and remove commands.
type voterChangeCommand struct {
	operatorFlags
	Instance string `arg:"" help:"Id of the instance."`
}

// send proposes to add the instance to the voters, or to remove it.
func (c *voterChangeCommand) send(p *printer, remove bool) error {
	change := operator.VoterChange{Instance: c.Instance, Remove: remove}
	if err := c.client().Post(context.Background(), operator.PathVoters, change, &change); err != nil {
		return err
	}
	return p.writeResult(change, func() { p.line("accepted; briaryard voters list shows the result") })
}

type votersAddCommand struct{ voterChangeCommand }

// Run implements the command.
func (c *votersAddCommand) Run(p *printer) error { return c.send(p, false) }

type votersRemoveCommand struct{ voterChangeCommand }

// Run implements the command.
func (c *votersRemoveCommand) Run(p *printer) error { return c.send(p, true) }
