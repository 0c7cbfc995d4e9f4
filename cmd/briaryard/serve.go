package main

import (
	"context"
	"fmt"
	"os"

	"briaryard/internal/app"
)

// serveCommand runs one instance with the settings from its flags and environment.
type serveCommand struct {
	app.Settings
}

// Run implements the command.
func (c *serveCommand) Run() error {
	if err := checkSettings(&c.Settings); err != nil {
		return err
	}
	i := app.New(c.Settings, newLogger(c.LogLevel), nil)
	code, err := i.Run(context.Background(), func() {})
	exitCode = code
	return err
}

// checkSettings prints all invalid settings and returns the first error.
func checkSettings(s *app.Settings) error {
	faults := s.Check()
	for _, f := range faults {
		fmt.Fprintln(os.Stderr, f)
	}
	if len(faults) > 0 {
		return faults[0]
	}
	return nil
}
