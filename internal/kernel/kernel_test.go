package kernel_test

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"briaryard/internal/kernel"
	"briaryard/internal/ring"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a service that records its Start and Stop calls in a shared log.
type recorder struct {
	name    string
	needs   []string
	log     *[]string
	resolve string
	fail    error
}

func (r *recorder) Name() string    { return r.name }
func (r *recorder) Needs() []string { return r.needs }

func (r *recorder) Provision(res kernel.Resolver) error {
	if r.resolve == "" {
		return nil
	}
	_, err := kernel.Resolve[*recorder](res, r.resolve)
	return err
}

func (r *recorder) Start(*kernel.Host) error {
	*r.log = append(*r.log, "start "+r.name)
	return r.fail
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

func newKernel(t *testing.T, services ...*recorder) (*kernel.Kernel, *[]string) {
	t.Helper()
	var log []string
	k := kernel.New(func(error) {})
	for _, s := range services {
		s.log = &log
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	return k, &log
}

// Guards against a service that starts before, or stops after, a service that it needs.
func TestStartFollowsNeedsAndStopReversesIt(t *testing.T) {
	k, log := newKernel(t,
		&recorder{name: "c", needs: []string{"b"}, resolve: "b"},
		&recorder{name: "a"},
		&recorder{name: "b", needs: []string{"a"}})
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	want := []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}
	for i := range want {
		if (*log)[i] != want[i] {
			t.Fatalf("order is %v, want %v", *log, want)
		}
	}
}

// Guards against services that start although a dependency is missing, cyclic or undeclared, and
// against two services with the same name.
func TestWiringFaultsAreFoundBeforeAnyStart(t *testing.T) {
	for name, c := range map[string]struct {
		services []*recorder
		want     any
	}{
		"missing":    {[]*recorder{{name: "a"}, {name: "b", needs: []string{"x"}}}, new(*kernel.MissingNameError)},
		"cycle":      {[]*recorder{{name: "a", needs: []string{"b"}}, {name: "b", needs: []string{"a"}}}, new(*kernel.CycleError)},
		"undeclared": {[]*recorder{{name: "a"}, {name: "b", resolve: "a"}}, new(*kernel.UndeclaredNeedError)},
	} {
		k, log := newKernel(t, c.services...)
		err := k.Start(context.Background())
		if err == nil || !errors.As(err, c.want) {
			t.Errorf("%s: got %v, want %T", name, err, c.want)
		}
		if len(*log) > 0 {
			t.Errorf("%s: services started: %v", name, *log)
		}
	}
	k, _ := newKernel(t, &recorder{name: "a"})
	var duplicate *kernel.DuplicateNameError
	if err := k.Register(&recorder{name: "a"}); !errors.As(err, &duplicate) {
		t.Errorf("duplicate: got %v", err)
	}
}

// Guards against services left running when a later one fails to start.
func TestFailedStartStopsWhatStarted(t *testing.T) {
	k, log := newKernel(t, &recorder{name: "a"}, &recorder{name: "b", needs: []string{"a"}, fail: context.Canceled})
	var failure *kernel.ServiceError
	if err := k.Start(context.Background()); !errors.As(err, &failure) || failure.Service != "b" {
		t.Fatalf("got %v, want the failure of b", err)
	}
	if last := (*log)[len(*log)-1]; last != "stop a" {
		t.Fatalf("last step is %q, want stop a", last)
	}
}

// Guards against a panic that is not reported and leaves a duty's state inconsistent.
func TestPanicOfADutyIsReported(t *testing.T) {
	reported := make(chan error, 1)
	k := kernel.New(func(err error) { reported <- err })
	k.Host().Go("broken", func(context.Context, *kernel.Duty) { panic("boom") })
	var p *kernel.DutyPanicError
	select {
	case err := <-reported:
		if !errors.As(err, &p) || p.Duty != "broken" {
			t.Fatalf("got %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the panic was not reported")
	}
	_ = k.Stop(context.Background())
}

// Guards against timeouts that never fire while messages keep the ring from running empty.
func TestLoopTicksUnderLoad(t *testing.T) {
	r := ring.New[int]("busy", 8, ring.Block)
	ticked := make(chan struct{})
	k := kernel.New(func(error) {})
	done := false
	k.Host().Go("busy", kernel.Loop[int]{
		Ring: r, TickInterval: time.Millisecond,
		Handle: func(time.Time, int) {},
		OnTick: func(time.Time) {
			if !done {
				done = true
				close(ticked)
			}
		},
	}.Run, r)
	ctx, cancel := context.WithCancel(context.Background())
	producerDone := make(chan struct{})
	go func() {
		defer close(producerDone)
		for r.Put(ctx, 1) == nil {
		}
	}()
	select {
	case <-ticked:
	case <-time.After(10 * time.Second):
		t.Error("no tick while messages arrive")
	}
	cancel()
	<-producerDone
	r.Close()
	_ = k.Stop(context.Background())
}

// Guards against a tick with a time from before a stop of the duty: a lease that expired during the
// stop would still seem valid.
func TestTickCarriesTheTimeOfItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := ring.New[int]("r", 1, ring.Refuse)
		k := kernel.New(nil)
		ticks := 0
		k.Host().Go("duty", kernel.Loop[int]{
			Ring: r, TickInterval: 50 * time.Millisecond,
			Handle: func(time.Time, int) { time.Sleep(time.Minute) },
			OnTick: func(now time.Time) {
				if ticks++; time.Since(now) != 0 {
					t.Errorf("tick %d is %v old", ticks, time.Since(now))
				}
			},
		}.Run, r)
		_ = r.Offer(1)
		time.Sleep(2 * time.Minute)
		if err := k.Stop(context.Background()); err != nil || ticks < 1000 {
			t.Errorf("%d ticks, stop returned %v", ticks, err)
		}
	})
}

// Guards against a timeout that fires after a pause of the process although what it waits for is in the ring. A
// ring that is never empty delays the tick by no more than what it holds.
func TestATickFollowsTheMessagesThatArrivedBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := ring.New[int]("r", 8, ring.Refuse)
		k := kernel.New(nil)
		var order []string
		k.Host().Go("duty", kernel.Loop[int]{
			Ring: r, TickInterval: time.Second,
			Handle: func(_ time.Time, n int) {
				order = append(order, strconv.Itoa(n))
				if n == 0 {
					time.Sleep(1500 * time.Millisecond)
				}
				_ = r.Offer(n + 10)
			},
			OnTick: func(time.Time) {
				order = append(order, "tick")
				r.Close()
			},
		}.Run, r)
		for n := range 4 {
			_ = r.Offer(n)
		}
		time.Sleep(1600 * time.Millisecond)
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		// Message 0 added the last message that was in the ring when the tick came due.
		want := []string{"0", "1", "2", "3", "10", "tick"}
		if got := order[:min(len(want), len(order))]; !slices.Equal(got, want) {
			t.Errorf("order %v, want %v first", order, want)
		}
	})
}
