package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/load"
)

// loadCommand loads a fleet and judges its answers.
type loadCommand struct {
	Addresses  []string      `help:"Caller addresses (host:port) of instances to start from; loopback only." required:""`
	Executions []string      `help:"Addresses of stand-in backend servers that report what they executed; loopback only."`
	Mix        string        `help:"Workload: office or workshop for the pools of the dev command, example-office for those of examples/office." default:"office" enum:"office,workshop,example-office"`
	Rate       float64       `help:"Mean requests per second." default:"50"`
	Duration   time.Duration `help:"Length of the run." default:"20s"`
	Seed       uint64        `help:"Seed of the schedule." default:"1"`
	Domain     string        `help:"Failure domain that the callers are in."`
}

// Run implements the command.
func (c *loadCommand) Run(p *printer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	mix, err := load.MixByName(c.Mix)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, load.Options{
		Addresses: c.Addresses, Executions: c.Executions, Mix: mix, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed, Domain: c.Domain,
	})
	if err != nil {
		return err
	}
	if err := p.answer(report, func() { report.Print(p.out) }); err != nil {
		return err
	}
	if faults := report.Faults(); len(faults) > 0 {
		return &fault.PromiseBroken{Faults: faults}
	}
	return nil
}
