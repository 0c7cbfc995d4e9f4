// Command briaryard is a request scheduler between callers and backend servers.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"briaryard/internal/fault"
)

// commands is the command line.
type commands struct {
	Serve serveCommand `cmd:"" help:"Run one instance."`
	Dev   devCommand   `cmd:"" help:"Run an instance with stand-in backend servers, to try briaryard out."`
	Load  loadCommand  `cmd:"" help:"Load a fleet on loopback and judge its answers."`
	Bench benchCommand `cmd:"" help:"Measure what an instance adds to a call, in one process."`

	Standin standinCommand `cmd:"" hidden:"" help:"Run a stand-in backend server."`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("briaryard"),
		kong.Description("A request scheduler between callers and backend servers that behave differently."),
		kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return fault.ExitInternal
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		parser.Errorf("%s", err)
		return fault.ExitUsage
	}
	if err := ctx.Run(); err != nil {
		parser.Errorf("%s", err)
		return fault.MappingOf(fault.Of(err)).Exit
	}
	return exitCode
}

// exitCode is set by a command that ends without an error but not with success.
var exitCode = fault.ExitOK

func newLogger(level string) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(level))
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}
