package presence

import (
	"io"
	"testing"
	"time"

	"briaryard/internal/decide/roster"
	"briaryard/internal/decide/routing"
	"briaryard/internal/event"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

const (
	lease = 4 * time.Second
	// never is longer than any test, so that only the tests trigger the steps of a stop.
	never = time.Hour
)

// instance is a presence service with a fake relay and a fake roster.
type instance struct {
	*Service
	port.Relay
	port.Roster
	published []bool
	closing   bool
	stopAt    time.Time
	drained   func()
	finished  int
}

func (i *instance) SetPresence(e roster.Entry)               { i.published = append(i.published, e.Ready) }
func (i *instance) SetClosing(closing bool)                  { i.closing = closing }
func (i *instance) SetStopTime(at time.Time)                 { i.stopAt = at }
func (i *instance) DrainRouted(done func())                  { i.drained = done }
func (i *instance) confirm(now time.Time)                    { i.handle(now, port.RouteView{Table: table, AsOf: now}) }
func (i *instance) handleSteps(now time.Time, steps ...step) { i.handleEach(now, steps) }
func (i *instance) handleEach(now time.Time, steps []step) {
	for _, s := range steps {
		i.handle(now, s)
	}
}

var table = routing.New(&model.RouteConfig{Revision: 3})

func newInstance(t *testing.T) *instance {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	i := &instance{Service: New(log, Options{Address: "a:1", Lease: lease, AcceptDuration: never, MinStopDuration: never, MaxStopDuration: never})}
	i.relay, i.roster = i, i
	return i
}

func (i *instance) stop(now time.Time) { i.handle(now, leaveRequest{func() { i.finished++ }}) }

// Guards against callers that are sent to an instance which must refuse all requests, because its
// configuration was last confirmed too long ago.
func TestReadyOnlyWithAConfirmedConfiguration(t *testing.T) {
	i, now := newInstance(t), time.Now()
	i.update(now)
	if i.Ready() {
		t.Error("ready without a configuration")
	}
	i.confirm(now)
	if !i.Ready() {
		t.Error("not ready with a confirmed configuration")
	}
	i.update(now.Add(lease))
	if i.Ready() {
		t.Error("ready with a configuration that is no longer confirmed")
	}
	i.confirm(now.Add(lease))
	if want := []bool{true, false, true}; len(i.published) != len(want) {
		t.Errorf("published %v, want %v", i.published, want)
	}
}

// Guards against a stop that refuses the requests of callers who still use a list from before the
// stop.
func TestStopLeavesTheListBeforeItRefuses(t *testing.T) {
	i, now := newInstance(t), time.Now()
	i.confirm(now)
	i.leaving.Store(true)
	i.stop(now)
	if i.Ready() || i.published[len(i.published)-1] || i.closing {
		t.Errorf("ready %v, published %v, refusing %v; want not ready and not refusing yet", i.Ready(), i.published, i.closing)
	}
	i.confirm(now)
	if i.Ready() {
		t.Error("a new configuration made the instance ready while it stops")
	}
	i.handleSteps(now, refuseRequests)
	if !i.closing {
		t.Error("requests are still accepted after the step that refuses them")
	}
}

// Guards against a process that ends while callers still request its list, or before its open
// requests are answered.
func TestStopWaitsForBothTheCallersAndTheRequests(t *testing.T) {
	for name, order := range map[string][]step{"requests last": {refuseRequests, minStopElapsed, requestsDrained}, "requests first": {refuseRequests, requestsDrained, minStopElapsed}} {
		i, now := newInstance(t), time.Now()
		i.stop(now)
		i.handleSteps(now, refuseRequests)
		if i.drained == nil {
			t.Fatal("the stop does not wait for the open requests")
		}
		i.handleSteps(now, order[1])
		if i.finished != 0 {
			t.Errorf("%s: finished before both steps had ended", name)
		}
		i.handleSteps(now, order[2])
		i.handleSteps(now, maxStopElapsed)
		if i.finished != 1 {
			t.Errorf("%s: finished %d times, want once", name, i.finished)
		}
	}
}

// Guards against a stop that waits for a request which never ends, until the platform kills the
// process in the middle of its other work.
func TestStopEndsWhenItsTimeIsOver(t *testing.T) {
	i, now := newInstance(t), time.Now()
	i.stop(now)
	i.stop(now)
	i.handleSteps(now, refuseRequests, minStopElapsed, maxStopElapsed, requestsDrained)
	if i.finished != 1 {
		t.Errorf("finished %d times, want once", i.finished)
	}
}

// Guards against a stop that still accepts what it will cut off: the relay must know from the first
// moment of the stop when open requests end.
func TestStopTellsTheRelayWhenOpenRequestsEnd(t *testing.T) {
	i, now := newInstance(t), time.Now()
	i.stop(now)
	i.stop(now.Add(time.Second))
	if want := now.Add(never); !i.stopAt.Equal(want) {
		t.Errorf("open requests end at %v, want %v", i.stopAt, want)
	}
}
