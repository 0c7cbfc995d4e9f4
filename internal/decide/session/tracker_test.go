package session_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

var options = session.Options{LeaseDuration: 900 * time.Millisecond, DriftPercent: 1, DeadAfter: 10 * time.Second}

const expiry = 909 * time.Millisecond

// fleet runs a tracker on a real state machine in virtual time.
type fleet struct {
	machine  *state.Machine
	tracker  *session.Tracker
	now      time.Time
	declared []string
}

func newFleet(declared ...string) *fleet {
	now := time.Unix(1000, 0)
	return &fleet{machine: state.NewMachine(state.DefaultLimits()), tracker: session.New(now, options), now: now, declared: declared}
}

func (f *fleet) state() session.State {
	return session.State{
		Leases: f.machine.Leases(), Config: f.machine.Config(), Owners: f.machine.Owners(),
		Voters: []model.InstanceID{"v1"}, Declared: f.declared,
	}
}

func (f *fleet) apply(c state.Command) state.Result {
	return f.machine.Apply(f.machine.Applied()+1, f.now, c)
}

func (f *fleet) heartbeat(id model.InstanceID, incarnation model.Incarnation, stopping bool) (session.Answer, bool) {
	return f.tracker.Handle(f.now, session.Heartbeat{Instance: id, Incarnation: incarnation, Stopping: stopping}, f.state())
}

// tick applies what the tracker proposes and returns it.
func (f *fleet) tick() []state.Command {
	commands := f.tracker.Tick(f.now, f.state())
	for _, c := range commands {
		f.apply(c)
	}
	return commands
}

// run sends heartbeats of the instances, each in incarnation 1, and ticks for a duration.
func (f *fleet) run(d time.Duration, ids ...model.InstanceID) (commands []state.Command) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		for _, id := range ids {
			f.heartbeat(id, 1, false)
		}
		commands = append(commands, f.tick()...)
	}
	return commands
}

func (f *fleet) holders() map[model.InstanceID]int {
	n := make(map[model.InstanceID]int)
	for _, l := range f.machine.Leases() {
		n[l.Holder]++
	}
	return n
}

// Guards against leases that all go to the instance that reports first, and against leases that
// move although their holder is alive.
func TestLeasesAreSpreadAndKept(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	f.run(2*time.Second, "i1", "i2")
	if got := f.holders(); got["i1"] != 2 || got["i2"] != 2 {
		t.Fatalf("leases are held by %v, want two each", got)
	}
	if c := f.run(5*time.Second, "i1", "i2", "i3"); len(c) > 0 {
		t.Fatalf("leases of live holders moved: %v", c)
	}
}

// Guards against two simultaneous holders of one lease after a leader change.
func TestNewLeaderWaitsOutTheLeases(t *testing.T) {
	f := newFleet("a")
	f.apply(state.AcquireLease{Name: "a", Holder: "old", Incarnation: 1})
	started := f.now
	for len(f.run(50*time.Millisecond, "i1")) == 0 {
		if f.now.Sub(started) > 5*time.Second {
			t.Fatal("the lease of a dead holder was not reassigned")
		}
	}
	if waited := f.now.Add(-50 * time.Millisecond).Sub(started); waited < expiry {
		t.Fatalf("a new leader reassigned a lease after %v, want at least %v", waited, expiry)
	}
}

// Guards against a lease that outlives its holder by more than the failover time, or that is
// reassigned while the holder may still act on it.
func TestLeaseOfSilentHolderMovesAfterExpiry(t *testing.T) {
	f := newFleet("a")
	f.run(2*time.Second, "i1")
	if f.holders()["i1"] != 1 {
		t.Fatal("i1 did not get the lease")
	}
	f.heartbeat("i1", 1, false)
	last := f.now
	for f.holders()["i2"] == 0 {
		if f.now.Sub(last) > 3*time.Second {
			t.Fatal("the lease did not move within 3 s")
		}
		f.run(50*time.Millisecond, "i2")
	}
	if moved := f.now.Add(-50 * time.Millisecond).Sub(last); moved < expiry {
		t.Fatalf("the lease moved %v after the last renewal, want at least %v", moved, expiry)
	}
	if e := f.machine.Leases()["a"].Epoch; e != 2 {
		t.Fatalf("epoch is %d, want 2", e)
	}
}

// Guards against leases for instances that are about to stop, and against a restarted
// instance that keeps the leases of its previous run.
func TestStoppingAndRestartedInstances(t *testing.T) {
	f := newFleet("a")
	for range 40 {
		f.heartbeat("i1", 1, true)
		f.tick()
		f.now = f.now.Add(50 * time.Millisecond)
	}
	if len(f.machine.Leases()) != 0 {
		t.Fatalf("a stopping instance got %v", f.machine.Leases())
	}
	f.run(time.Second, "i2")
	for range 40 {
		if _, ok := f.heartbeat("i2", 2, false); !ok {
			t.Fatal("the new incarnation got no answer")
		}
		f.tick()
		f.now = f.now.Add(50 * time.Millisecond)
	}
	if l := f.machine.Leases()["a"]; l.Incarnation != 2 || l.Epoch != 2 {
		t.Fatalf("lease is %+v, want the second incarnation with a new epoch", l)
	}
	if _, ok := f.heartbeat("i2", 1, false); ok {
		t.Fatal("the replaced incarnation got an answer")
	}
}

func (f *fleet) claim(id model.InstanceID, incarnation model.Incarnation, key string) {
	f.apply(state.Claim{Key: model.HashKey("t", key), Request: model.RequestID{Instance: id, Incarnation: incarnation}})
}

func (f *fleet) status(key string) state.ClaimStatus {
	return f.machine.Lookup(state.Lookup{Key: model.HashKey("t", key)}).Claim
}

// Guards against claims that stay held forever, and against claims of live owners that become
// unknown.
func TestOwnersAreDeclaredDead(t *testing.T) {
	f := newFleet()
	f.claim("live", 1, "live")
	f.claim("replaced", 1, "replaced")
	f.claim("silent", 1, "silent")
	f.heartbeat("replaced", 2, false)
	f.tick()
	if f.status("replaced") != state.ClaimUnknown {
		t.Error("the claim of a replaced incarnation is still held")
	}
	f.run(9*time.Second, "live")
	if f.status("silent") != state.ClaimHeld {
		t.Error("a silent instance was declared dead before its time")
	}
	f.run(2*time.Second, "live")
	if f.status("silent") != state.ClaimUnknown || f.status("live") != state.ClaimHeld {
		t.Errorf("silent is %v, live is %v; want unknown and held", f.status("silent"), f.status("live"))
	}
	// A claim that was delayed in the network arrives after its owner was declared dead.
	f.claim("silent", 1, "late")
	f.run(2*time.Second, "live")
	if f.status("late") != state.ClaimUnknown {
		t.Error("a late claim of a dead owner is still held")
	}
}

// Guards against `apply --wait` that returns before an instance unknown to a new leader has
// confirmed, and against a configuration that is sent when it is not newer.
func TestAnswerCarriesConfigurationAndConfirmations(t *testing.T) {
	f := newFleet()
	f.apply(state.ApplyConfig{ChangeID: "c", Number: 1, Content: []byte("x")})
	a, _ := f.heartbeat("i1", 1, false)
	if a.Config == nil || a.Config.Revision != 1 || a.Confirmed != nil || !reflect.DeepEqual(a.Voters, []model.InstanceID{"v1"}) {
		t.Fatalf("got %+v", a)
	}
	f.run(10*time.Second, "i1", "i2")
	a, _ = f.tracker.Handle(f.now, session.Heartbeat{Instance: "i1", Incarnation: 1, Revision: 1}, f.state())
	want := []session.Confirmation{{Instance: "i1", Revision: 1}, {Instance: "i2"}}
	if a.Config != nil || !reflect.DeepEqual(a.Confirmed, want) {
		t.Fatalf("got %+v, want confirmations %+v", a, want)
	}
}

// Guards against two instances that act on one lease at the same time, under lost heartbeats, lost
// answers, clock drift and leader changes. Each simulated holder follows the rule of the control
// client: it acts until LeaseDuration less drift after the send time of the last answered
// heartbeat that listed the lease.
func TestNoLeaseHasTwoActingHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("a", "b")
		type acting struct{ until map[string]time.Time }
		holders := map[model.InstanceID]*acting{}
		for i := range 3 {
			holders[model.InstanceID(fmt.Sprintf("i%d", i))] = &acting{until: map[string]time.Time{}}
		}
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			id := model.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 2).Draw(t, "instance")))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				f.tracker = session.New(f.now, options)
			case 1, 2, 3, 4, 5:
				sent := f.now
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "delay")) * time.Millisecond)
				answer, ok := f.heartbeat(id, 1, false)
				if !ok || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					break
				}
				for _, l := range answer.Leases {
					if l.Holder == id {
						// The slowest allowed clock makes the duration 1% longer.
						own := options.LeaseDuration * 99 / 100
						holders[id].until[l.Name] = sent.Add(own * 101 / 100)
					}
				}
			default:
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
				f.tick()
			}
			for _, name := range f.declared {
				var active []model.InstanceID
				for id, h := range holders {
					if f.now.Before(h.until[name]) {
						active = append(active, id)
					}
				}
				if len(active) > 1 {
					t.Fatalf("lease %q has the acting holders %v", name, active)
				}
			}
		}
	})
}

// Guards against a large configuration that is sent again with each answer while it is still in
// transit: in a fleet of 84 instances that filled the leader's memory and delayed its
// configuration.
func TestConfigurationUnderWayIsNotSentAgain(t *testing.T) {
	now := time.Unix(100, 0)
	tracker := session.New(now, session.Options{LeaseDuration: time.Second, DeadAfter: 10 * time.Second})
	s := session.State{Config: state.AcceptedConfig{Revision: 5, Content: []byte("x")}}
	carries := func(incarnation model.Incarnation, revision model.Revision) bool {
		a, ok := tracker.Handle(now, session.Heartbeat{Instance: "i", Incarnation: incarnation, Revision: revision}, s)
		if !ok {
			t.Fatal("no answer")
		}
		return a.Config != nil
	}
	if !carries(1, 4) {
		t.Error("the first answer carries no configuration")
	}
	now = now.Add(250 * time.Millisecond)
	if carries(1, 4) {
		t.Error("a configuration was sent again while it is in transit")
	}
	if !carries(2, 0) {
		t.Error("a new process gets no configuration")
	}
	s.Config.Revision = 6
	if !carries(2, 0) {
		t.Error("a newer configuration waits for the older one")
	}
	now = now.Add(time.Second)
	if !carries(2, 0) {
		t.Error("a configuration that was lost is not sent again")
	}
}
