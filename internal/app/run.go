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

// stopTimeout is the time limit for the stop of the services after the last answer has ended.
const stopTimeout = 10 * time.Second

// Run starts the instance, calls started, waits for a signal and stops the instance. The first
// SIGTERM or SIGINT, or the drain request of an operator, starts a graceful stop without a time
// limit; a signal during the graceful stop aborts it. Run returns the exit code.
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

// wait returns the exit code after a graceful or aborted stop, or the error of a duty that panicked.
func (i *Instance) wait(ctx context.Context, signals <-chan os.Signal) (int, error) {
	select {
	case <-signals:
	case <-i.drainRequests:
	case <-ctx.Done():
	case err := <-i.failures:
		return fault.ExitInternal, err
	}
	finished := make(chan struct{})
	i.BeginStop(func() { close(finished) })
	select {
	case <-finished:
		return fault.ExitOK, nil
	case <-signals:
		return fault.ExitInterrupted, nil
	case err := <-i.failures:
		return fault.ExitInternal, err
	}
}
