package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/fault"
)

// stopTimeout bounds the stop of the services after the last answer has ended.
const stopTimeout = 10 * time.Second

// Run starts an instance, waits for a signal and stops it. The first SIGTERM or SIGINT
// stops gracefully, without a time limit, as does an operator's drain; a second one cuts the stop short. The result is
// the exit code.
func (i *Instance) Run(ctx context.Context, started func()) (int, error) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := i.Start(ctx); err != nil {
		return fault.ExitInternal, err
	}
	started()
	code, failure := i.wait(ctx, signals)
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := i.Stop(stop); err != nil && code == fault.ExitOK {
		return fault.ExitInternal, err
	}
	i.log.Emit(event.ProcessStopped, i.settings.ID, code)
	return code, failure
}

func (i *Instance) wait(ctx context.Context, signals <-chan os.Signal) (int, error) {
	select {
	case <-signals:
	case <-i.drains:
	case <-ctx.Done():
	case err := <-i.failed:
		return fault.ExitInternal, err
	}
	finished := make(chan struct{})
	i.BeginStop(func() { close(finished) })
	select {
	case <-finished:
		return fault.ExitOK, nil
	case <-signals:
		return fault.ExitInterrupted, nil
	case err := <-i.failed:
		return fault.ExitInternal, err
	}
}
