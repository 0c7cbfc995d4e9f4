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
	// later is beyond any test, so that the steps come from the tests alone.
	later = time.Hour
)

// instance is a presence service whose relay and roster the test plays.
type instance struct {
	*Service
	port.Relay
	port.Roster
	told     []bool
	closing  bool
	drained  func()
	finished int
}

func (i *instance) SetPresence(e roster.Entry)      { i.told = append(i.told, e.Ready) }
func (i *instance) SetClosing(closing bool)         { i.closing = closing }
func (i *instance) DrainRouted(done func())         { i.drained = done }
func (i *instance) view(now time.Time)              { i.handle(now, port.View{Table: table, AsOf: now}) }
func (i *instance) do(now time.Time, steps ...step) { i.each(now, steps) }
func (i *instance) each(now time.Time, steps []step) {
	for _, s := range steps {
		i.handle(now, s)
	}
}

var table = routing.New(&model.Document{Revision: 3})

func newInstance(t *testing.T) *instance {
	t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		t.Fatal(err)
	}
	i := &instance{Service: New(log, Options{Address: "a:1", Lease: lease, TakeFor: later, StayFor: later, EndAfter: later})}
	i.relay, i.roster = i, i
	return i
}

func (i *instance) stop(now time.Time) { i.handle(now, leave{func() { i.finished++ }}) }

// Guards against callers that are sent to an instance which must refuse everything, because it has
// not heard for too long whether its configuration still counts.
func TestReadyOnlyWithAConfirmedConfiguration(t *testing.T) {
	i, now := newInstance(t), time.Now()
	i.update(now)
	if i.Ready() {
		t.Error("ready without a configuration")
	}
	i.view(now)
	if !i.Ready() {
		t.Error("not ready with a confirmed configuration")
	}
	i.update(now.Add(lease))
	if i.Ready() {
		t.Error("ready with a configuration that no longer counts")
	}
	i.view(now.Add(lease))
	if want := []bool{true, false, true}; len(i.told) != len(want) {
		t.Errorf("the others were told %v, want %v", i.told, want)
	}
}

// Guards against a stop that refuses callers who came by a list from before the stop.
func TestStopLeavesTheListBeforeItRefuses(t *testing.T) {
	i, now := newInstance(t), time.Now()
	i.view(now)
	i.leaving.Store(true)
	i.stop(now)
	if i.Ready() || i.told[len(i.told)-1] || i.closing {
		t.Errorf("ready %v, told %v, refusing %v; want only the list left", i.Ready(), i.told, i.closing)
	}
	i.view(now)
	if i.Ready() {
		t.Error("a new configuration brought the instance back while it stops")
	}
	i.do(now, refuse)
	if !i.closing {
		t.Error("requests are still taken after the time for them")
	}
}

// Guards against a process that ends while callers still ask for its list, or before its requests
// are answered.
func TestStopWaitsForBothTheCallersAndTheRequests(t *testing.T) {
	for name, order := range map[string][]step{"requests last": {refuse, stayed, drained}, "requests first": {refuse, drained, stayed}} {
		i, now := newInstance(t), time.Now()
		i.stop(now)
		i.do(now, refuse)
		if i.drained == nil {
			t.Fatal("nobody waits for the open requests")
		}
		i.do(now, order[1])
		if i.finished != 0 {
			t.Errorf("%s: finished before the last of the two", name)
		}
		i.do(now, order[2])
		i.do(now, over)
		if i.finished != 1 {
			t.Errorf("%s: finished %d times, want once", name, i.finished)
		}
	}
}

// Guards against a stop that waits for a request which never ends, until the process is killed in the
// middle of its other work.
func TestStopEndsWhenItsTimeIsOver(t *testing.T) {
	i, now := newInstance(t), time.Now()
	i.stop(now)
	i.stop(now)
	i.do(now, refuse, stayed, over, drained)
	if i.finished != 1 {
		t.Errorf("finished %d times, want once", i.finished)
	}
}
