package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// keyedArrival returns a submission with the key "k".
func keyedArrival(seq uint64) Arrival {
	return Arrival{
		ID: model.RequestID{Instance: "i0", Incarnation: 1, Seq: seq}, Team: "t", Caller: "c", Pool: "p",
		Kind: model.EngineServer, Key: "k", Call: model.Call{Prompt: []byte{1}},
	}
}

func newMachine() *Machine {
	m := New("i0")
	m.SetConfig(testConfig(true))
	m.SetView(&model.View{Servers: []model.BackendServer{{ID: "s", Incarnation: 1, Slots: 10, Pools: []model.PoolID{"p"}}}})
	return m
}

// lastCommand returns the last command of type C among the effects.
func lastCommand[C state.Command](t *testing.T, effects []Effect) C {
	t.Helper()
	for i := len(effects) - 1; i >= 0; i-- {
		if c, ok := effects[i].(SendCommand); ok {
			if command, ok := c.Command.(C); ok {
				return command
			}
		}
	}
	var zero C
	t.Fatalf("no %T among %v", zero, effects)
	return zero
}

// Guards against a submission that joins the refusal of an earlier attempt although another
// attempt with the key has run since that attempt's barrier was set.
func TestRefusalInProgressIsNotJoined(t *testing.T) {
	m, now := newMachine(), time.Unix(1000, 0)
	first, second := keyedArrival(1), keyedArrival(2)
	m.Arrive(now, first)
	m.HandleCommandResult(now, first.ID, "t", &state.Result{Claim: state.ClaimNone, Index: 1})
	lastCommand[state.Refuse](t, m.Evicted(now, first.ID, &fault.Shed{}))
	lastCommand[state.Lookup](t, m.Arrive(now, second))
	answer := &model.Answer{Status: 200}
	m.HandleCommandResult(now, first.ID, "t", &state.Result{Claim: state.ClaimNone})
	for _, e := range m.HandleCommandResult(now, second.ID, "t", &state.Result{Claim: state.ClaimFinished, Answer: answer}) {
		if r, ok := e.(Replay); ok && r.Answer == answer {
			return
		}
	}
	t.Fatal("the second attempt was not answered with the stored outcome of its key")
}

// Guards against a not_run answer for an attempt whose claim was rejected by a barrier while
// a third attempt runs.
func TestSupersededAttemptSetsItsOwnBarrier(t *testing.T) {
	m, now := newMachine(), time.Unix(1000, 0)
	a := keyedArrival(1)
	m.Arrive(now, a)
	m.HandleCommandResult(now, a.ID, "t", &state.Result{Claim: state.ClaimNone, Index: 1})
	lastCommand[state.Claim](t, m.Granted(now, model.Grant{Request: a.ID, Pool: "p", Server: "s", Incarnation: 1, Epoch: 1}))
	lastCommand[state.Refuse](t, m.HandleCommandResult(now, a.ID, "t", &state.Result{Claim: state.ClaimSuperseded}))
	for _, e := range m.HandleCommandResult(now, a.ID, "t", &state.Result{Claim: state.ClaimHeld}) {
		if r, ok := e.(Refuse); ok && fault.MappingOf(r.Fault).RunState == model.MayHaveRun {
			return
		}
	}
	t.Fatal("the attempt was not answered may_have_run")
}

// Guards against requests admitted beyond the rate or concurrency limits of a team or a
// caller, and against idle callers that are kept.
func TestLimitsOfTeamsAndCallers(t *testing.T) {
	team := &model.Team{ID: "t", RatePerSecond: 10, Burst: 2, CallerRatePerSecond: 5, CallerConcurrency: 3}
	l, now := newLimiter(), time.Unix(1000, 0)
	admitted := func(caller model.CallerID) int {
		n := 0
		for range 10 {
			if l.check(now, team, caller) == nil {
				n++
			}
		}
		return n
	}
	if n := admitted("a"); n != 2 {
		t.Fatalf("admitted a burst of %d requests, want 2", n)
	}
	if n := admitted("b"); n != 0 {
		t.Fatalf("admitted %d requests above the team's rate", n)
	}
	now = now.Add(time.Second)
	if n := admitted("a"); n != 2 {
		t.Fatalf("admitted %d requests a second later, want the burst of 2", n)
	}
	now = now.Add(time.Second)
	for range 4 {
		l.begin("t", "c")
	}
	if f, ok := l.check(now, team, "c").(*fault.ConcurrencyLimited); !ok || f.Limit != 3 {
		t.Fatal("admitted a request above the caller's concurrency limit")
	}
	l.expire(now.Add(2 * idleCallerAge))
	if len(l.callers) != 1 {
		t.Fatalf("%d callers are kept, want only the one with requests in progress", len(l.callers))
	}
}

// Guards against a claims-full refusal that does not state the team and its bound, and against
// a claim that is not charged to a team.
func TestClaimsFullNamesTheTeam(t *testing.T) {
	want := &fault.ClaimsFull{Team: "t", Held: 6, Bound: 4, Limit: 10}
	for _, reported := range []fault.Fault{want, nil} {
		m, now := newMachine(), time.Unix(1000, 0)
		a := keyedArrival(1)
		m.Arrive(now, a)
		m.HandleCommandResult(now, a.ID, "t", &state.Result{Claim: state.ClaimNone, Index: 1})
		grant := model.Grant{Request: a.ID, Pool: "p", Server: "s", Incarnation: 1, Epoch: 1}
		if c := lastCommand[state.Claim](t, m.Granted(now, grant)); c.Team != "t" {
			t.Fatalf("the claim is charged to team %q", c.Team)
		}
		lastCommand[state.Refuse](t, m.HandleCommandResult(now, a.ID, "t", &state.Result{Claim: state.ClaimFull, Err: reported}))
		var refused *fault.ClaimsFull
		for _, e := range m.HandleCommandResult(now, a.ID, "t", &state.Result{Claim: state.ClaimNone}) {
			if r, ok := e.(Refuse); ok {
				refused, _ = r.Fault.(*fault.ClaimsFull)
			}
		}
		if refused == nil || refused.Team != "t" || reported != nil && *refused != *want {
			t.Errorf("the caller was refused with %+v", refused)
		}
	}
}

// Guards against a caller that gets its burst again before its rate has refilled it, by waiting for its
// bucket to be dropped.
func TestABucketIsKeptUntilItIsFull(t *testing.T) {
	g := NewWithT(t)
	l := newLimiter()
	team := &model.Team{ID: "t", CallerRatePerSecond: 0.1, Burst: 30}
	now := time.Unix(1000, 0)
	for range 30 {
		g.Expect(l.check(now, team, "c")).To(BeNil())
	}
	now = now.Add(2 * idleCallerAge)
	l.expire(now)
	allowed := 0
	for l.check(now, team, "c") == nil {
		allowed++
	}
	g.Expect(allowed).To(Equal(12), "120 s at one in 10 s")
	now = now.Add(10 * time.Minute)
	l.expire(now)
	g.Expect(l.callers).To(BeEmpty())
}
