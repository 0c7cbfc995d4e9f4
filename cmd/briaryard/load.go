package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/load"
	"briaryard/internal/trust"
)

// loadCommand generates load on a fleet and checks its answers.
type loadCommand struct {
	Addresses  []string      `help:"Caller addresses (host:port) of instances that the address list is requested from; loopback only." required:""`
	Executions []string      `help:"Addresses of stand-in backend servers that report what they executed; loopback only."`
	Mix        string        `help:"Workload: office or workshop for the pools of the dev command, example-office for those of examples/office." default:"office" enum:"office,workshop,example-office"`
	Rate       float64       `help:"Mean requests per second." default:"50"`
	Duration   time.Duration `help:"Duration of the run." default:"20s"`
	Seed       uint64        `help:"Seed of the random arrivals." default:"1"`
	Domain     string        `help:"Failure domain that the callers are in."`
	CallerCA   string        `name:"caller-ca" help:"Certificate file (PEM) of the authority of the instances; with it requests use TLS."`
	Tokens     string        `name:"caller-tokens-file" help:"File with the tokens of the teams, in the format of the instances' tokens file: team NAME TOKEN. The first token of a team is sent."`
	BackendCA  string        `name:"backend-ca" help:"Certificate file (PEM) of the authority of the stand-ins; with it requests for their executions use TLS."`
	BackendTok string        `name:"backend-token-file" help:"File with the token of calls to the stand-ins."`
}

// Run implements the command.
func (c *loadCommand) Run(p *printer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	mix, err := load.MixByName(c.Mix)
	if err != nil {
		return err
	}
	options := load.Options{
		Addresses: c.Addresses, Executions: c.Executions, Mix: mix, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed, Domain: c.Domain,
	}
	if err := c.loadCredentials(&options); err != nil {
		return err
	}
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := p.writeResult(report, func() { report.Print(p.out) }); err != nil {
		return err
	}
	if faults := report.Faults(); len(faults) > 0 {
		return &fault.PromiseBroken{Faults: faults}
	}
	return nil
}

// loadCredentials reads the certificate and token files. Tokens have no flags, because other users
// of the machine can read the arguments of a command.
func (c *loadCommand) loadCredentials(o *load.Options) (err error) {
	if o.Callers, err = trust.LoadOutgoing(trust.OutgoingFiles{Authority: c.CallerCA}); err != nil {
		return err
	}
	if o.Backends, err = trust.LoadOutgoing(trust.OutgoingFiles{Authority: c.BackendCA, TokenFile: c.BackendTok}); err != nil {
		return err
	}
	if c.Tokens != "" {
		o.Tokens, err = trust.TeamTokens(c.Tokens)
	}
	return err
}
