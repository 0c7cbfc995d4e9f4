package main

import (
	"context"
	"net/url"
	"time"

	"briaryard/internal/operator"
)

// rolloutCommands are the commands of roll-outs. They call the control address of core instances.
type rolloutCommands struct {
	Start  rolloutStartCommand  `cmd:"" help:"Move the traffic of a service to the servers of another version."`
	Status rolloutStatusCommand `cmd:"" help:"Show the last roll-out of a service."`
}

// coreFlags name the core instances.
type coreFlags struct {
	Core []string `help:"Control addresses (host:port) of core instances, in the order in which they are tried." env:"BRIARYARD_CORE" default:"127.0.0.1:8229"`
}

const (
	pathRollouts = "/v1/rollouts"
	// rolloutAttempts at intervals of rolloutPause outlast a change of the leader.
	rolloutAttempts = 8
	rolloutPause    = 500 * time.Millisecond
)

// rolloutOrder and rolloutState are the messages of the control address.
type rolloutOrder struct {
	Service   string  `json:"service"`
	Target    string  `json:"target"`
	DurationS float64 `json:"duration_s"`
}

type rolloutState struct {
	State  string `json:"state"`
	Target string `json:"target"`
}

type rolloutStartCommand struct {
	coreFlags
	Service  string        `arg:"" help:"Service whose traffic is moved."`
	Target   string        `arg:"" help:"Version to move to, as announced by its servers."`
	Duration time.Duration `help:"Time in which a good version is to have all requests (1us to 24h)." default:"60s"`
}

// Run implements the command. The same order again is acknowledged again, so it is repeated until it has an answer.
func (c *rolloutStartCommand) Run(p *printer) error {
	order := rolloutOrder{Service: c.Service, Target: c.Target, DurationS: c.Duration.Seconds()}
	var s rolloutState
	client := operator.NewClient(c.Core)
	err := repeat(p, func() error { return client.Post(context.Background(), pathRollouts, order, &s) })
	if err != nil {
		return err
	}
	return p.writeResult(s, func() { p.line("roll-out of %s to %s: %s", c.Service, s.Target, s.State) })
}

type rolloutStatusCommand struct {
	coreFlags
	Service string `arg:"" help:"Service whose last roll-out is shown."`
}

// Run implements the command.
func (c *rolloutStatusCommand) Run(p *printer) error {
	var s rolloutState
	client := operator.NewClient(c.Core)
	err := repeat(p, func() error { return client.Get(context.Background(), pathRollouts+"/"+url.PathEscape(c.Service), &s) })
	if err != nil {
		return err
	}
	return p.writeResult(s, func() { p.line("roll-out of %s to %s: %s", c.Service, s.Target, s.State) })
}

// repeat makes a call again while its failure does not tell whether it had an effect.
func repeat(p *printer, call func() error) error {
	for attempt := 1; ; attempt++ {
		err := call()
		if err == nil || attempt == rolloutAttempts || !retryable(err) {
			return err
		}
		p.progress("no answer (%v); attempt %d of %d", err, attempt+1, rolloutAttempts)
		sleep(rolloutPause)
	}
}
