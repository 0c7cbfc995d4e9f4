package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"briaryard/docs"
	"briaryard/internal/declare"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/operator"
)

type configCommands struct {
	Validate validateCommand `cmd:"" help:"Check configuration files and list all errors. Needs no instance."`
	Diff     diffCommand     `cmd:"" help:"Show the difference between the configuration in force and the files."`
	Apply    applyCommand    `cmd:"" help:"Show the difference, then propose the files as the configuration of the fleet."`
	Get      getCommand      `cmd:"" help:"Print the configuration in force."`
	History  historyCommand  `cmd:"" help:"List the accepted changes."`
	Schema   schemaCommand   `cmd:"" help:"Print the JSON schema of the configuration files, for editors."`
}

// configFiles holds the paths of the configuration files that a command reads.
type configFiles struct {
	Paths []string `arg:"" name:"path" help:"YAML files, or directories whose .yaml and .yml files are read."`
}

// check reads and validates the files. It returns the configuration and its canonical document.
func (f *configFiles) check() (*model.Config, []byte, error) {
	var read []declare.File
	for _, path := range f.Paths {
		names, err := expand(path)
		if err != nil {
			return nil, nil, err
		}
		for _, name := range names {
			content, err := os.ReadFile(name)
			if err != nil {
				return nil, nil, &fault.FileUnreadable{Path: name, Err: err}
			}
			read = append(read, declare.File{Name: name, Content: content})
		}
	}
	return declare.Check(read, time.Now())
}

// expand returns the sorted configuration files of a directory, or the path of a file itself.
func expand(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &fault.FileUnreadable{Path: path, Err: err}
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, &fault.FileUnreadable{Path: path, Err: err}
	}
	var names []string
	for _, e := range entries {
		if ext := filepath.Ext(e.Name()); !e.IsDir() && (ext == ".yaml" || ext == ".yml") {
			names = append(names, filepath.Join(path, e.Name()))
		}
	}
	if len(names) == 0 {
		return nil, &fault.FileUnreadable{Path: path, Err: os.ErrNotExist}
	}
	slices.Sort(names)
	return names, nil
}

type validateCommand struct{ configFiles }

// Run implements the command.
func (c *validateCommand) Run(p *printer) error {
	config, _, err := c.check()
	if err != nil {
		return err
	}
	summary := map[string]int{"teams": len(config.Teams), "pools": len(config.Pools), "exceptions": len(config.Exceptions)}
	return p.writeResult(summary, func() {
		p.line("valid: %d teams, %d pools, %d exceptions", summary["teams"], summary["pools"], summary["exceptions"])
	})
}

type diffCommand struct {
	configFiles
	operatorFlags
}

// Run implements the command.
func (c *diffCommand) Run(p *printer) error {
	_, content, err := c.check()
	if err != nil {
		return err
	}
	var current operator.Config
	if err := c.client().Get(context.Background(), operator.PathConfig, &current); err != nil {
		return err
	}
	differences, err := diffAgainst(current, content)
	if err != nil {
		return err
	}
	return p.writeResult(map[string]any{"base_revision": current.Revision, "differences": differences}, func() {
		p.printDifferences(current.Revision, differences)
	})
}

// diffAgainst compares the configuration in force with a document. The configuration in force is
// converted to canonical form first, because the initial one of a fleet may have another form.
func diffAgainst(current operator.Config, content []byte) ([]declare.Difference, error) {
	differences, err := declare.Diff([]byte(current.Content), content)
	if differences == nil {
		differences = []declare.Difference{}
	}
	return differences, err
}

// printDifferences prints one line for each added, removed or changed field.
func (p *printer) printDifferences(base uint64, list []declare.Difference) {
	if len(list) == 0 {
		p.line("no difference to revision %d", base)
		return
	}
	p.line("changes to revision %d:", base)
	for _, d := range list {
		switch {
		case d.Old == "":
			p.line("  + %s: %s", d.Field, d.New)
		case d.New == "":
			p.line("  - %s: %s", d.Field, d.Old)
		default:
			p.line("  ~ %s: %s -> %s", d.Field, d.Old, d.New)
		}
	}
}

type getCommand struct{ operatorFlags }

// Run implements the command.
func (c *getCommand) Run(p *printer) error {
	var current operator.Config
	if err := c.client().Get(context.Background(), operator.PathConfig, &current); err != nil {
		return err
	}
	return p.writeResult(current, func() {
		if current.Withdrawn {
			p.progress("the instance cannot confirm its configuration; there may be a newer one")
		}
		p.line("# revision %d, change %s, operator %s, accepted %s", current.Revision, current.ChangeID, current.Operator, current.At.UTC().Format(time.RFC3339))
		_, _ = fmt.Fprint(p.out, current.Content)
	})
}

type historyCommand struct{ operatorFlags }

// Run implements the command.
func (c *historyCommand) Run(p *printer) error {
	var h operator.History
	if err := c.client().Get(context.Background(), operator.PathHistory, &h); err != nil {
		return err
	}
	return p.writeResult(h, func() {
		rows := [][]string{{"REVISION", "ACCEPTED", "OPERATOR", "CHANGE"}}
		for _, change := range h.Changes {
			rows = append(rows, []string{fmt.Sprint(change.Revision), change.At.UTC().Format(time.RFC3339), change.Operator, change.ChangeID})
		}
		p.table(rows)
		if !h.Complete {
			p.progress("the control group does not answer; only the changes that the instance has seen since it started")
		}
	})
}

type schemaCommand struct{}

// Run implements the command.
func (c *schemaCommand) Run(p *printer) error {
	_, err := p.out.Write(docs.ConfigSchema)
	return err
}
