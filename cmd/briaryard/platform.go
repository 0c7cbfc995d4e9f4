package main

import (
	"context"
	"fmt"
	"os"

	"briaryard/internal/app"
	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
	"briaryard/platform"
)

// platformCommand runs one process of a fleet on the users' platform, in the role entry or core.
type platformCommand struct {
	Role     string `arg:"" help:"Role of the process: entry takes requests, core is a member of the control group." enum:"entry,core"`
	Settings string `help:"File with the platform's settings." env:"BRIARYARD_BOOT" required:""`
	LogLevel string `help:"Lowest level of log events: debug, info, warn or error." env:"BRIARYARD_LOG_LEVEL" default:"info" enum:"debug,info,warn,error"`

	HedgeRatio     float64 `help:"Second calls of slow requests that may be repeated, per request of the service in the retry window, over the fleet (0 to 0.2); 0 sends none." env:"BRIARYARD_HEDGE_RATIO" default:"0"`
	HedgeFreeSlots float64 `help:"Share of a service's slots that must stay free after the grant of a second call (0 to 1)." env:"BRIARYARD_HEDGE_FREE_SLOTS" default:"0.1"`

	httpserve.Limits
}

// maxHedgeRatio is the largest --hedge-ratio.
const maxHedgeRatio = 0.2

// checkHedging returns the faults of the settings of hedged requests.
func (c *platformCommand) checkHedging() []error {
	var faults []error
	// The conditions are false for a value that is not a number.
	if !(c.HedgeRatio >= 0 && c.HedgeRatio <= maxHedgeRatio) {
		faults = append(faults, &fault.InvalidSetting{Setting: "--hedge-ratio", Reason: "must be from 0 to 0.2"})
	}
	if !(c.HedgeFreeSlots >= 0 && c.HedgeFreeSlots <= 1) {
		faults = append(faults, &fault.InvalidSetting{Setting: "--hedge-free-slots", Reason: "must be from 0 to 1"})
	}
	return faults
}

// Run implements the command.
func (c *platformCommand) Run() error {
	s, faults := platform.ReadSettings(c.Settings, c.Role)
	faults = append(faults, c.checkHedging()...)
	faults = append(faults, c.CheckFaults()...)
	for _, f := range faults {
		fmt.Fprintln(os.Stderr, f)
	}
	if len(faults) > 0 {
		return faults[0]
	}
	s.LogLevel, s.Limits = c.LogLevel, c.Limits
	s.Retries.HedgeRatio, s.HedgeFreeSlots = c.HedgeRatio, c.HedgeFreeSlots
	process, err := app.NewRouted(s.RoutedSettings, os.Stdout, platform.Adapter(&s))
	if err != nil {
		return err
	}
	exitCode, err = process.Run(context.Background())
	return err
}
