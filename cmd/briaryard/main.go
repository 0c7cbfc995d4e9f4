// Command briaryard is a request scheduler between callers and backend servers.
package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
)

// commands holds the global flags and the commands.
type commands struct {
	Output string `help:"Output format: text for people, json for programs." enum:"text,json" default:"text" env:"BRIARYARD_OUTPUT"`

	Serve    serveCommand    `cmd:"" group:"Run" help:"Run one instance."`
	Platform platformCommand `cmd:"" group:"Run" help:"Run one process on the users' platform, with the platform's settings file."`
	Dev      devCommand      `cmd:"" group:"Run" help:"Run an instance with stand-in backend servers, to try briaryard out."`
	Config   configCommands  `cmd:"" group:"Operate" help:"Check and change the fleet configuration."`
	Status   statusCommand   `cmd:"" group:"Operate" help:"Show health, revisions, leases, members and duties."`
	Explain  explainCommand  `cmd:"" group:"Operate" help:"Show the events of one request."`
	Drain    drainCommand    `cmd:"" group:"Operate" help:"Stop an instance gracefully: it cuts off no answer."`
	Voters   votersCommands  `cmd:"" group:"Operate" help:"List and change the voters of the control group."`
	Rollout  rolloutCommands `cmd:"" group:"Operate" help:"Move the traffic of a service to another version of its servers."`
	Metrics  metricsCommand  `cmd:"" group:"Operate" help:"Show the metrics of an instance."`
	Logs     logsCommands    `cmd:"" group:"Operate" help:"Read the logs of a fleet: follow a request, or sum up all."`
	Events   eventsCommand   `cmd:"" group:"Look up" help:"List the log events with their numbers."`
	Errors   errorsCommand   `cmd:"" group:"Look up" help:"List the failures with status, run state and exit code."`
	Version  versionCommand  `cmd:"" group:"Look up" help:"Show the version of this program."`
	Load     loadCommand     `cmd:"" group:"Test" help:"Generate load on a loopback fleet and check its answers."`
	Bench    benchCommand    `cmd:"" group:"Test" help:"Measure the overhead of a call through an instance, in one process."`

	Standin standinCommand `cmd:"" hidden:"" help:"Run a stand-in backend server."`
}

const description = `A request scheduler between callers and backend servers that behave differently.

To try it out: "briaryard dev" in one terminal, "briaryard status" in another, and the status page at http://127.0.0.1:8082/.

To change the configuration: edit the files in version control, then "briaryard config validate DIR", "briaryard config diff DIR" and "briaryard config apply DIR --wait".

Exit codes: 0 success, 1 internal failure, 2 wrong usage, 3 invalid or not allowed, 4 conflict with another change, 5 unavailable (try again), 6 stop cut short by a second signal.`

func main() { os.Exit(run(os.Args[1:], printer{out: os.Stdout, err: os.Stderr})) }

// newParser returns the parser that fills c from a command line.
func newParser(c *commands) (*kong.Kong, error) {
	return kong.New(c, kong.Name("briaryard"), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
}

// run executes one command line and returns the exit code of the process.
func run(args []string, p printer) int {
	var c commands
	parser, err := newParser(&c)
	if err != nil {
		_, _ = fmt.Fprintln(p.err, err)
		return fault.ExitInternal
	}
	parser.Stdout, parser.Stderr = p.out, p.err
	ctx, err := parser.Parse(args)
	if err != nil {
		parser.Errorf("%s", err)
		return fault.ExitUsage
	}
	p.json = c.Output == "json"
	if err := ctx.Run(&p); err != nil {
		p.printError(err)
		return fault.MappingOf(fault.Of(err)).Exit
	}
	return exitCode
}

// printError writes an error to the error stream: as a problem document with --output json, else
// as text.
func (p *printer) printError(err error) {
	f := fault.Of(err)
	if p.json {
		_ = json.NewEncoder(p.err).Encode(httpserve.ProblemOf(f, ""))
		return
	}
	_, _ = fmt.Fprintf(p.err, "briaryard: %s: %s\n", fault.MappingOf(f).Title, f.Error())
}

// exitCode is the exit code of a command that returns no error, for example of a status command
// that finds unhealthy services.
var exitCode = fault.ExitOK

// newLogger returns a logger that writes JSON lines of the level and above to standard error.
func newLogger(level string) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(level))
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}

// discardLogger returns a logger that drops every event, so that measurements do not include the
// cost of writing them.
func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
