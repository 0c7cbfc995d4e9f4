package main

import (
	"context"
	"fmt"
	"time"

	"briaryard/internal/app"
	"briaryard/internal/load"
	"briaryard/internal/standin/booking"
	"briaryard/internal/standin/engine"
)

// benchCommand measures the latency, CPU time and memory that an instance adds to calls.
type benchCommand struct {
	Requests int `help:"Number of waiting requests, and of open streams, whose memory is measured." default:"1000"`
}

// settings returns the settings of the measured instance. It listens on free loopback ports, and
// its address list is valid for 1 s.
func (c *benchCommand) settings() app.Settings {
	return app.Settings{
		ID: "bench", FailureDomain: "domain-1", CallerAddress: "127.0.0.1:0", ServerAddress: "127.0.0.1:0",
		OperAddress: "127.0.0.1:0", AddressTTL: time.Second, MaxBodyBytes: 1 << 20, ConfirmWithin: 5 * time.Second,
	}
}

// Run implements the command.
func (c *benchCommand) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	i := app.New(c.settings(), discardLogger(), devConfig)
	if err := i.Start(ctx); err != nil {
		return err
	}
	defer func() { _ = i.Stop(context.Background()) }()
	b := booking.New(booking.Options{ID: "b", Service: "booking", Domain: "domain-1", Slots: 1 << 12})
	direct, err := serveStandin(ctx, i, b.Handler(), b.Announcement)
	if err != nil {
		return err
	}
	if err := waitReady(ctx, i); err != nil {
		return err
	}
	o, err := load.MeasureOverhead(ctx, direct, i.CallerAddress())
	if err != nil {
		return err
	}
	printOverhead(o)
	return c.measureMemory(ctx, i)
}

// waitReady waits until the instance routes requests to the booking service.
func waitReady(ctx context.Context, i *app.Instance) error {
	return load.Ready(ctx, "http://"+i.CallerAddress()+"/v1/services/booking/stock")
}

// printOverhead prints the figures of direct calls and of calls through the instance.
func printOverhead(o load.Overhead) {
	fmt.Printf("plain calls, one caller: direct p50 %d us p99 %d us, through an instance p50 %d us p99 %d us (added p50 %d us, p99 %d us)\n",
		o.DirectP50, o.DirectP99, o.ThroughP50, o.ThroughP99, o.ThroughP50-o.DirectP50, o.ThroughP99-o.DirectP99)
	fmt.Printf("plain calls, 64 callers: direct %.0f/s, through an instance %.0f/s (ratio %.2f)\n",
		o.DirectRate, o.ThroughRate, o.ThroughRate/o.DirectRate)
	fmt.Printf("processor time per call with callers and stand-in: direct %.0f us, through an instance %.0f us (added %.0f us)\n",
		o.DirectCPU, o.ThroughCPU, o.ThroughCPU-o.DirectCPU)
}

// measureMemory measures the memory of requests that wait because no engine runs, then that of
// streams of a stand-in engine.
func (c *benchCommand) measureMemory(ctx context.Context, i *app.Instance) error {
	const body = `{"model":"notes","stream":true,"max_tokens":512,"messages":[{"role":"user","content":"Draft a note."}]}`
	waiting, done, err := load.OpenRequests(ctx, i.CallerAddress(), c.Requests, []byte(body))
	if err != nil {
		return err
	}
	done()
	e := engine.New(engine.Options{ID: "e", Model: "notes", Domain: "domain-1", Slots: 1 << 14, TokenTime: 200 * time.Millisecond})
	if _, err := serveStandin(ctx, i, e.Handler(), e.Announcement); err != nil {
		return err
	}
	streams, done, err := load.OpenRequests(ctx, i.CallerAddress(), c.Requests, []byte(body))
	if err != nil {
		return err
	}
	done()
	fmt.Printf("memory with callers' connections, per %d: waiting requests %.1f MB, open streams (stand-in engine included) %.1f MB\n",
		c.Requests, float64(waiting)/1e6, float64(streams)/1e6)
	return nil
}
