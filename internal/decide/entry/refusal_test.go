package entry

import (
	"testing"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// keyedArrival returns a submission with one key.
func keyedArrival(seq uint64) Arrival {
	return Arrival{
		ID: model.RequestID{Instance: "i0", Incarnation: 1, Seq: seq}, Team: "t", Caller: "c", Pool: "p",
		Kind: model.EngineServer, Key: "k", Call: model.Call{Prompt: []byte{1}},
	}
}

func newMachine() *Machine {
	m := New("i0")
	m.SetConfig(configuration(true))
	m.SetView(&model.View{Servers: []model.BackendServer{{ID: "s", Incarnation: 1, Slots: 10, Pools: []model.PoolID{"p"}}}})
	return m
}

// last returns the last command among the effects.
func last[C state.Command](t *testing.T, effects []Effect) C {
	t.Helper()
	for i := len(effects) - 1; i >= 0; i-- {
		if c, ok := effects[i].(Control); ok {
			if command, ok := c.Command.(C); ok {
				return command
			}
		}
	}
	var zero C
	t.Fatalf("no %T among %v", zero, effects)
	return zero
}

// Guards against a submission that shares the refusal of an earlier attempt although the
// key has run since that attempt's barrier was set.
func TestRefusalInProgressIsNotJoined(t *testing.T) {
	m, now := newMachine(), time.Unix(1000, 0)
	first, second := keyedArrival(1), keyedArrival(2)
	m.Arrive(now, first)
	m.Controlled(now, first.ID, "t", &state.Result{Claim: state.ClaimNone, Index: 1})
	last[state.Refuse](t, m.Evicted(now, first.ID, &fault.Shed{}))
	last[state.Lookup](t, m.Arrive(now, second))
	answer := &model.Answer{Status: 200}
	m.Controlled(now, first.ID, "t", &state.Result{Claim: state.ClaimNone})
	for _, e := range m.Controlled(now, second.ID, "t", &state.Result{Claim: state.ClaimFinished, Answer: answer}) {
		if r, ok := e.(Replay); ok && r.Answer == answer {
			return
		}
	}
	t.Fatal("the second attempt was not answered with the outcome of its key")
}

// Guards against not_run for an attempt that lost its claim to a barrier while a third
// attempt runs.
func TestSupersededAttemptSetsItsOwnBarrier(t *testing.T) {
	m, now := newMachine(), time.Unix(1000, 0)
	a := keyedArrival(1)
	m.Arrive(now, a)
	m.Controlled(now, a.ID, "t", &state.Result{Claim: state.ClaimNone, Index: 1})
	last[state.Claim](t, m.Granted(now, model.Grant{Request: a.ID, Pool: "p", Server: "s", Incarnation: 1, Epoch: 1}))
	last[state.Refuse](t, m.Controlled(now, a.ID, "t", &state.Result{Claim: state.ClaimSuperseded}))
	for _, e := range m.Controlled(now, a.ID, "t", &state.Result{Claim: state.ClaimHeld}) {
		if r, ok := e.(Refuse); ok && fault.MappingOf(r.Fault).RunState == model.MayHaveRun {
			return
		}
	}
	t.Fatal("the attempt was not answered may_have_run")
}

// Guards against limits that a team or a caller can exceed.
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
		t.Fatalf("a burst of %d was admitted, want 2", n)
	}
	if n := admitted("b"); n != 0 {
		t.Fatalf("%d requests above the team's rate were admitted", n)
	}
	now = now.Add(time.Second)
	if n := admitted("a"); n != 2 {
		t.Fatalf("%d requests were admitted a second later, want the burst of 2", n)
	}
	now = now.Add(time.Second)
	for range 4 {
		l.begin("t", "c")
	}
	if f, ok := l.check(now, team, "c").(*fault.ConcurrencyLimited); !ok || f.Limit != 3 {
		t.Fatal("a caller above its concurrency was admitted")
	}
	l.expire(now.Add(2 * idleCallerAge))
	if len(l.callers) != 1 {
		t.Fatalf("%d callers are remembered, want the one with open requests", len(l.callers))
	}
}

// Guards against a refusal for want of room that does not say which team is at which bound, and
// against a claim that counts for no team.
func TestClaimsFullNamesTheTeam(t *testing.T) {
	want := &fault.ClaimsFull{Team: "t", Held: 6, Bound: 4, Limit: 10}
	for _, stated := range []fault.Fault{want, nil} {
		m, now := newMachine(), time.Unix(1000, 0)
		a := keyedArrival(1)
		m.Arrive(now, a)
		m.Controlled(now, a.ID, "t", &state.Result{Claim: state.ClaimNone, Index: 1})
		grant := model.Grant{Request: a.ID, Pool: "p", Server: "s", Incarnation: 1, Epoch: 1}
		if c := last[state.Claim](t, m.Granted(now, grant)); c.Team != "t" {
			t.Fatalf("the claim is for team %q", c.Team)
		}
		last[state.Refuse](t, m.Controlled(now, a.ID, "t", &state.Result{Claim: state.ClaimFull, Err: stated}))
		var refused *fault.ClaimsFull
		for _, e := range m.Controlled(now, a.ID, "t", &state.Result{Claim: state.ClaimNone}) {
			if r, ok := e.(Refuse); ok {
				refused, _ = r.Fault.(*fault.ClaimsFull)
			}
		}
		if refused == nil || refused.Team != "t" || stated != nil && *refused != *want {
			t.Errorf("the caller is told %+v", refused)
		}
	}
}
