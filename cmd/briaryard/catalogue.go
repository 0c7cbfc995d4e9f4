package main

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"
	"strings"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
)

type eventsCommand struct{}

// Run implements the command.
func (c *eventsCommand) Run(p *printer) error {
	type entry struct {
		Number int      `json:"number"`
		Name   string   `json:"name"`
		Level  string   `json:"level"`
		Help   string   `json:"help"`
		Fields []string `json:"fields"`
	}
	var list []entry
	rows := [][]string{{"NUMBER", "LEVEL", "EVENT", "FIELDS", "MEANING"}}
	for _, d := range event.Table() {
		list = append(list, entry{d.Number, d.Name, d.Level.String(), d.Help, d.Fields})
		rows = append(rows, []string{fmt.Sprint(d.Number), d.Level.String(), d.Name, strings.Join(d.Fields, ","), d.Help})
	}
	return p.writeResult(list, func() { p.table(rows) })
}

type errorsCommand struct{}

// Run implements the command.
func (c *errorsCommand) Run(p *printer) error {
	type entry struct {
		Type     string `json:"type"`
		Title    string `json:"title"`
		Status   int    `json:"status"`
		RunState string `json:"run_state"`
		Exit     int    `json:"exit_code"`
	}
	var list []entry
	rows := [][]string{{"CODE", "STATUS", "RUN STATE", "EXIT", "TITLE"}}
	for _, m := range failureTable() {
		list = append(list, entry{httpserve.ProblemTypePrefix + string(m.Code), m.Title, m.Status, m.RunState.String(), m.Exit})
		rows = append(rows, []string{string(m.Code), fmt.Sprint(m.Status), m.RunState.String(), fmt.Sprint(m.Exit), m.Title})
	}
	return p.writeResult(list, func() { p.table(rows) })
}

// failureTable returns all failures that have a code, sorted by code.
func failureTable() []fault.Mapping {
	var out []fault.Mapping
	for _, m := range fault.Table() {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b fault.Mapping) int { return cmp.Compare(a.Code, b.Code) })
	return out
}

type versionCommand struct{}

// Run implements the command.
func (c *versionCommand) Run(p *printer) error {
	v := map[string]string{"version": "development", "revision": "unknown", "go": ""}
	if info, ok := debug.ReadBuildInfo(); ok {
		v["go"] = info.GoVersion
		if info.Main.Version != "" && info.Main.Version != "(devel)" {
			v["version"] = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v["revision"] = s.Value
			}
		}
	}
	return p.writeResult(v, func() { p.line("briaryard %s (%s, %s)", v["version"], v["revision"], v["go"]) })
}
