package kernel_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"briaryard/internal/kernel"
	"briaryard/internal/ring"
)

// runLoop runs a loop as a duty until the test ends.
func runLoop(t *testing.T, l kernel.Loop[int]) {
	t.Helper()
	k := kernel.New(func(err error) { t.Error(err) })
	k.Host().Go("loop", l.Run)
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Guards against a duty that keeps QuietTick as its interval after a message has ended the idle
// state, and against one that ticks at Tick while it is idle.
func TestQuietLoopTicksAgainAfterAMessage(t *testing.T) {
	var ticks atomic.Int64
	var quiet atomic.Bool
	quiet.Store(true)
	r := ring.New[int]("quiet", 4, ring.Block)
	runLoop(t, kernel.Loop[int]{
		Ring: r, Tick: time.Millisecond, OnTick: func(time.Time) { ticks.Add(1) },
		Handle: func(time.Time, int) { quiet.Store(false) }, Quiet: quiet.Load, QuietTick: time.Hour,
	})
	await(t, "first tick", func() bool { return ticks.Load() > 0 })
	time.Sleep(100 * time.Millisecond)
	if n := ticks.Load(); n > 2 {
		t.Fatalf("%d ticks of an idle loop", n)
	}
	if err := r.Put(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	await(t, "ticks after the message", func() bool { return ticks.Load() > 10 })
}

// Guards against a duty that never gets a tick because it is idle between any two messages.
func TestLoopThatIsOftenQuietStillTicks(t *testing.T) {
	var ticks, handled atomic.Int64
	r := ring.New[int]("flapping", 4, ring.Block)
	runLoop(t, kernel.Loop[int]{
		Ring: r, Tick: 20 * time.Millisecond, QuietTick: 40 * time.Millisecond,
		OnTick: func(time.Time) { ticks.Add(1) }, Handle: func(time.Time, int) { handled.Add(1) },
		Quiet: func() bool { return handled.Load()%2 == 0 },
	})
	await(t, "ticks between messages", func() bool {
		_ = r.Put(context.Background(), 1)
		return ticks.Load() > 10
	})
}
