package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/logscan"
)

// logsCommands work on the logs that the processes of a fleet have written.
type logsCommands struct {
	Explain logsExplainCommand `cmd:"" help:"Show what the logs say about one request, across all processes."`
	Report  logsReportCommand  `cmd:"" help:"Sum up what became of the requests in the logs, by route."`
}

type logsExplainCommand struct {
	ID    string   `arg:"" help:"Request id, or the caller's attempt id."`
	Files []string `arg:"" help:"Log files. Lines that are no log lines are passed over."`
}

// Run implements the command.
func (c *logsExplainCommand) Run(p *printer) error {
	story, err := logscan.Explain(c.ID, func() (io.ReadCloser, error) { return openLogs(c.Files) })
	if err != nil {
		return err
	}
	if len(story.Records) == 0 {
		return &fault.NotInLogs{ID: c.ID}
	}
	return p.writeResult(story, func() {
		rows := [][]string{{"TIME", "PROCESS", "EVENT", "FIELDS"}}
		for _, r := range story.Records {
			rows = append(rows, logRow(&r))
		}
		p.table(rows)
		p.line("\nchanges of its inputs, from 10 s before it:")
		rows = rows[:1]
		for _, r := range story.Context {
			rows = append(rows, logRow(&r))
		}
		p.table(rows)
		if story.Dropped > 0 {
			p.line("\n%d lines say that log lines were dropped in that time: some may be missing", story.Dropped)
		}
	})
}

// logRow returns the columns of a log line. Durations are shown with their unit.
func logRow(r *logscan.Record) []string {
	var fields []string
	for _, name := range slices.Sorted(maps.Keys(r.Fields)) {
		if slices.Contains([]string{"time", "level", "msg", "event"}, name) {
			continue
		}
		text := fmt.Sprint(r.Fields[name])
		if d := r.Duration(name); durationFields[name] {
			text = d.Round(10 * time.Microsecond).String()
		}
		fields = append(fields, name+"="+text)
	}
	return []string{r.Time.Format("15:04:05.000000"), r.Process, fmt.Sprintf("%d %s", r.Number, r.Name), strings.Join(fields, " ")}
}

// durationFields are the fields that hold nanoseconds.
var durationFields = map[string]bool{
	"after": true, "age": true, "estimate": true, "first": true, "hold": true, "left": true, "objective": true, "ran": true, "retry_after": true, "took": true, "waited": true,
}

type logsReportCommand struct {
	Files []string `arg:"" help:"Log files. Lines that are no log lines are passed over."`
	SVG   string   `name:"svg" help:"File for a plot of the requests that ended in each second." placeholder:"FILE"`
}

// Run implements the command.
func (c *logsReportCommand) Run(p *printer) error {
	in, err := openLogs(c.Files)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	report, err := logscan.Summarize(in)
	if err != nil {
		return err
	}
	if err := c.writePlot(report); err != nil {
		return err
	}
	return p.writeResult(report, func() {
		rows := [][]string{{"ROUTE", "ASKED", "RESULTS", "DENIALS", "SENDS", "WAITED P50", "P99", "FIRST P50", "P99"}}
		for _, r := range report.Routes {
			rows = append(rows, []string{
				r.Route, fmt.Sprint(r.Asked), counts(r.Results), counts(r.Denials), fmt.Sprint(r.Sends),
				millis(r.Waited, 0.5), millis(r.Waited, 0.99), millis(r.First, 0.5), millis(r.First, 0.99),
			})
		}
		p.table(rows)
		printUsage(p, "TEAM", report.UsageByTeam)
		printUsage(p, "FAILURE DOMAIN", report.UsageByDomain)
		printUsage(p, "ROUTE", report.UsageByRoute)
		for i := range report.UsageBySecond {
			report.UsageBySecond[i].Name = fmt.Sprint(i)
		}
		printUsage(p, "SECOND", report.UsageBySecond)
		p.line("%d lines were no log lines; %d say that log lines were dropped", report.Skipped, report.Dropped)
	})
}

// printUsage prints who asked, who was served, and who held the slots of the backend servers.
func printUsage(p *printer, group string, usage []logscan.Usage) {
	rows := [][]string{{group, "ASKED", "ON TIME", "LATE", "REFUSED", "REFUSED AGAIN", "GIVEN UP", "FAILED", "SLOT SECONDS"}}
	for _, u := range usage {
		rows = append(rows, []string{
			u.Name, fmt.Sprint(u.Asked), fmt.Sprint(u.OnTime), fmt.Sprint(u.Late), fmt.Sprint(u.Refused), fmt.Sprint(u.RefusedAgain),
			fmt.Sprint(u.GivenUp), fmt.Sprint(u.Failed), fmt.Sprintf("%.1f", u.SlotSeconds),
		})
	}
	p.line("")
	p.table(rows)
}

// writePlot writes the plot if its file is named.
func (c *logsReportCommand) writePlot(report *logscan.Report) error {
	if c.SVG == "" {
		return nil
	}
	out, err := os.Create(c.SVG)
	if err != nil {
		return err
	}
	err = report.WriteSVG(out)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return err
}

func counts(m map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}

func millis(sorted []time.Duration, q float64) string {
	return logscan.Quantile(sorted, q).Round(time.Millisecond).String()
}

// logFiles reads several files one after the other.
type logFiles struct {
	io.Reader
	files []*os.File
}

// Close closes all files and returns the first error.
func (l *logFiles) Close() (err error) {
	for _, f := range l.files {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}
	return err
}

func openLogs(names []string) (io.ReadCloser, error) {
	l := &logFiles{}
	var readers []io.Reader
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, &fault.InvalidSetting{Setting: "log file", Reason: err.Error()}
		}
		l.files = append(l.files, f)
		// A file may end without a line feed.
		readers = append(readers, f, strings.NewReader("\n"))
	}
	l.Reader = io.MultiReader(readers...)
	return l, nil
}
