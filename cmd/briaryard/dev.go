package main

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"time"

	"briaryard/internal/app"
	"briaryard/internal/fault"
	"briaryard/internal/service/frontannounce"
	"briaryard/internal/standin/announce"
	"briaryard/internal/standin/booking"
	"briaryard/internal/standin/engine"
)

//go:embed dev.yaml
var devConfig []byte

// devCommand runs an instance and two stand-in backend servers in one process.
type devCommand struct {
	app.Settings
	TokenTime time.Duration `help:"Time between tokens of the stand-in engine." default:"30ms"`
}

const readHeaderTimeout = 10 * time.Second

// Run implements the command.
func (c *devCommand) Run() error {
	if err := checkSettings(&c.Settings); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	i := app.New(c.Settings, newLogger(c.LogLevel), devConfig)
	var standinErr error
	code, err := i.Run(ctx, func() {
		standinErr = c.startStandins(ctx, i)
		printExamples(i)
	})
	exitCode = code
	if standinErr != nil {
		return standinErr
	}
	return err
}

// startStandins starts a stand-in engine and a stand-in booking service.
func (c *devCommand) startStandins(ctx context.Context, i *app.Instance) error {
	e := engine.New(engine.Options{
		ID: "engine-1", Model: "notes", Domain: c.FailureDomain, Slots: 8,
		TokenTime: c.TokenTime, LoadLag: time.Second, CacheEventGap: 10, Generation: "g1",
	})
	if _, err := serveStandin(ctx, i, e.Handler(), e.Announcement); err != nil {
		return err
	}
	b := booking.New(booking.Options{ID: "booking-1", Service: "booking", Domain: c.FailureDomain, Slots: 4, Delay: 20 * time.Millisecond})
	_, err := serveStandin(ctx, i, b.Handler(), b.Announcement)
	return err
}

// serveStandin starts a stand-in that announces itself to the instance, and returns its address.
// It runs until the context ends; current returns its announcement for an address.
func serveStandin(ctx context.Context, i *app.Instance, h http.Handler, current func(string) frontannounce.Announcement) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &fault.ListenFailed{Address: "127.0.0.1:0", Err: err}
	}
	address := l.Addr().String()
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go announce.Run(ctx, []string{i.ServerAddress()}, func() frontannounce.Announcement { return current(address) })
	return address, nil
}

// printExamples prints curl commands for the addresses of the instance.
func printExamples(i *app.Instance) {
	fmt.Printf(`briaryard dev is running. Try:

  curl -N http://%[1]s/v1/chat/completions -H 'Briaryard-Team: studio' \
    -d '{"model":"notes","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Draft a fitting note."}]}'

  curl http://%[1]s/v1/services/booking/book -H 'Briaryard-Team: studio' -H 'Idempotency-Key: booking-0001' \
    -d '{"slot":"10:30"}'

  curl http://%[1]s/v1/addresses
  curl http://%[2]s/operator/v1/duties

Ctrl-C stops after the answers in progress have ended.
`, i.CallerAddress(), i.OperatorAddress())
}
