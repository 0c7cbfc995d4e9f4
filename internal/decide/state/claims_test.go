package state_test

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// attempt is one request with an idempotency key, as an entry instance processes it.
type attempt struct {
	id          model.RequestID
	key         model.KeyHash
	team        model.TeamID
	fingerprint model.Fingerprint
	seenIndex   uint64
	// ran is set when the claim is won and cleared when the attempt is released as not run.
	ran           bool
	ended         bool
	finishedIndex uint64
	finishedAt    time.Time
}

// claimsMachine is a rapid state machine that compares state.Machine with the naive model. It
// also checks the safety of the results against its own record of the attempts that ran and
// those that were told not_run.
type claimsMachine struct {
	machine  *state.Machine
	naive    *naive
	limits   state.Limits
	now      time.Time
	attempts []*attempt
	// notRun is the index of the last not_run answer for each key.
	notRun map[model.KeyHash]uint64
	// view is the last view taken, and viewExport its content at that time.
	view       *state.View
	viewExport state.Export
}

func smallLimits() state.Limits {
	return state.Limits{
		Claims: 4, AnswerBytes: 5, TotalAnswerBytes: 8, Retention: 60 * time.Second,
		BarrierRetention: 30 * time.Second, Barriers: 2, Changes: 100, Leases: 3,
	}
}

func newClaimsMachine() *claimsMachine {
	l := smallLimits()
	return &claimsMachine{
		machine: state.NewMachine(l), naive: &naive{limits: l}, limits: l, now: time.Unix(1000, 0).UTC(),
		notRun: make(map[model.KeyHash]uint64),
	}
}

func (m *claimsMachine) apply(t *rapid.T, c state.Command) state.Result {
	got := m.machine.Apply(m.machine.Applied()+1, m.now, c)
	want := m.naive.apply(m.now, c)
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v: machine returned %+v, model %+v", c, got, want)
	}
	return got
}

func (m *claimsMachine) pick(t *rapid.T) *attempt {
	if len(m.attempts) == 0 {
		t.Skip("no attempt")
	}
	return rapid.SampledFrom(m.attempts).Draw(t, "attempt")
}

// Arrive begins an attempt: it looks up the key and records the index if the key has no claim.
func (m *claimsMachine) Arrive(t *rapid.T) {
	a := &attempt{
		id: model.RequestID{
			Instance:    model.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 1).Draw(t, "instance"))),
			Incarnation: model.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
			Seq:         uint64(len(m.attempts)),
		},
		key:         model.HashKey("t", fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))),
		team:        rapid.SampledFrom([]model.TeamID{"", "a", "b"}).Draw(t, "team"),
		fingerprint: model.Fingerprint{byte(rapid.IntRange(0, 3).Draw(t, "fingerprint") / 3)},
	}
	if r := m.machine.Lookup(state.Lookup{Key: a.key, Fingerprint: a.fingerprint}); r.Claim == state.ClaimNone {
		a.seenIndex = r.Index
		m.attempts = append(m.attempts, a)
	}
}

// Claim sends the claim of an attempt, which may be a resent or delayed one.
func (m *claimsMachine) Claim(t *rapid.T) {
	a := m.pick(t)
	r := m.apply(t, state.Claim{Key: a.key, Team: a.team, Fingerprint: a.fingerprint, Request: a.id, SeenIndex: a.seenIndex})
	if r.Claim != state.ClaimWon || a.ran {
		return
	}
	if a.ended {
		t.Fatalf("attempt %v won a claim after it had ended", a.id)
	}
	if a.seenIndex < m.notRun[a.key] {
		t.Fatalf("attempt %v with seen index %d won a claim after not_run at %d", a.id, a.seenIndex, m.notRun[a.key])
	}
	for _, other := range m.attempts {
		expired := other.finishedIndex > 0 && m.now.Sub(other.finishedAt) > m.limits.Retention && a.seenIndex >= other.finishedIndex
		if other.key == a.key && other.ran && !expired {
			t.Fatalf("attempts %v and %v with one key were both dispatched", other.id, a.id)
		}
	}
	a.ran = true
}

func (m *claimsMachine) Finish(t *rapid.T) {
	a := m.pick(t)
	if !a.ran {
		t.Skip("not dispatched")
	}
	answer := &model.Answer{Body: make([]byte, rapid.IntRange(0, 6).Draw(t, "size"))}
	r := m.apply(t, state.Finish{Key: a.key, Request: a.id, Answer: answer})
	if a.finishedIndex == 0 {
		if r.Claim != state.ClaimFinished {
			t.Fatalf("finish of a dispatched attempt returned %v", r.Claim)
		}
		a.finishedIndex, a.finishedAt, a.ended = r.Index, m.now, true
	}
}

func (m *claimsMachine) Abandon(t *rapid.T) {
	a := m.pick(t)
	m.apply(t, state.Abandon{Key: a.key, Request: a.id})
}

// Release is sent by an attempt that was dispatched but not admitted.
func (m *claimsMachine) Release(t *rapid.T) {
	a := m.pick(t)
	if a.finishedIndex > 0 {
		t.Skip("ran")
	}
	a.ended = true
	if r := m.apply(t, state.Release{Key: a.key, Request: a.id}); r.Claim == state.ClaimNone {
		a.ran = false
		m.notRun[a.key] = r.Index
	}
}

// Refuse is sent by an attempt that was not dispatched.
func (m *claimsMachine) Refuse(t *rapid.T) {
	a := m.pick(t)
	if a.ran {
		t.Skip("dispatched")
	}
	a.ended = true
	if r := m.apply(t, state.Refuse{Key: a.key, Request: a.id}); r.Claim == state.ClaimNone {
		m.notRun[a.key] = r.Index
	}
}

func (m *claimsMachine) OwnerDead(t *rapid.T) {
	a := m.pick(t)
	m.apply(t, state.OwnerDead{Instance: a.id.Instance, Incarnation: a.id.Incarnation})
}

// PassTime advances the time by up to 40 seconds.
func (m *claimsMachine) PassTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

// Restore replaces the machine by one imported from its export.
func (m *claimsMachine) Restore(t *rapid.T) {
	restored, err := state.Import(m.machine.Export(), m.limits)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(restored.Export(), m.machine.Export()) {
		t.Fatal("the export of the restored machine differs")
	}
	m.machine = restored
}

// View takes a view, which must not change when the machine applies further commands.
func (m *claimsMachine) View(*rapid.T) {
	m.view = m.machine.View()
	m.viewExport = m.view.Export()
}

// Check implements rapid.StateMachine: views do not change, claims and barriers stay within
// their limits, and no claim without a known outcome is removed.
func (m *claimsMachine) Check(t *rapid.T) {
	if m.view != nil && !reflect.DeepEqual(m.view.Export(), m.viewExport) {
		t.Fatal("a view changed")
	}
	if m.machine.ClaimCount() > m.limits.Claims {
		t.Fatalf("%d claims are above the limit", m.machine.ClaimCount())
	}
	if e := m.machine.Export(); len(e.Barriers) > m.limits.Barriers {
		t.Fatalf("%d barriers are above the limit", len(e.Barriers))
	}
	for _, a := range m.attempts {
		got := m.machine.Lookup(state.Lookup{Key: a.key, Fingerprint: a.fingerprint})
		if a.ran && a.finishedIndex == 0 && got.Claim == state.ClaimNone {
			t.Fatalf("the claim of %v was removed although its outcome is not known", a.id)
		}
	}
}

// Guards against a key that is dispatched twice, a false not_run, unknown claims that expire,
// tables that grow without bound, a per-team bound that counts claims wrongly, and snapshots that
// lose state.
func TestClaimsAgainstNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(rapid.StateMachineActions(newClaimsMachine())) })
}

// Guards against a full table that evicts an unknown claim, or that refuses new claims even after
// finished ones have expired.
func TestFullTableRefusesNewClaims(t *testing.T) {
	l := smallLimits()
	m := state.NewMachine(l)
	now := time.Unix(0, 0)
	apply := func(c state.Command) state.Result { return m.Apply(m.Applied()+1, now, c) }
	claim := func(i int) state.Result {
		return apply(state.Claim{Key: model.HashKey("t", fmt.Sprint(i)), Request: model.RequestID{Instance: "i", Seq: uint64(i)}, SeenIndex: m.Applied()})
	}
	for i := range l.Claims {
		claim(i)
	}
	apply(state.Finish{Key: model.HashKey("t", "0"), Request: model.RequestID{Instance: "i"}})
	apply(state.OwnerDead{Instance: "i"})
	if r := claim(99); r.Claim != state.ClaimFull || r.Err == nil {
		t.Fatalf("a claim in a full table returned %+v", r)
	}
	now = now.Add(10 * 365 * 24 * time.Hour)
	if r := claim(99); r.Claim != state.ClaimWon {
		t.Fatalf("a claim after the finished one expired returned %v", r.Claim)
	}
	if r := m.Lookup(state.Lookup{Key: model.HashKey("t", "1")}); r.Claim != state.ClaimUnknown {
		t.Fatalf("an unknown claim is %v after ten years", r.Claim)
	}
}

// Guards against a queue of barriers that grows with each repeated refusal of one key.
func TestRepeatedRefusalsUseBoundedMemory(t *testing.T) {
	l := state.DefaultLimits()
	m := state.NewMachine(l)
	before := heapBytes()
	for range 500_000 {
		m.Apply(m.Applied()+1, time.Unix(0, 0), state.Refuse{Key: model.HashKey("t", "k")})
	}
	if grown := heapBytes() - before; grown > 1<<20 {
		t.Fatalf("memory grew by %d bytes", grown)
	}
	if n := len(m.Export().Barriers); n != 1 {
		t.Fatalf("%d barriers, want 1", n)
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// BenchmarkClaimMemory reports the memory for 100,000 claims without answers, of which the table
// accepts as many as its limits allow. The claims have no team, or belong to as many teams as at
// the design size, with names of the maximum length.
func BenchmarkClaimMemory(b *testing.B) {
	for _, finished := range []bool{false, true} {
		b.Run(fmt.Sprintf("finished=%v", finished), func(b *testing.B) { claimMemory(b, finished, 0) })
		b.Run(fmt.Sprintf("finished=%v,teams=1300", finished), func(b *testing.B) { claimMemory(b, finished, 1300) })
	}
}

func claimMemory(b *testing.B, finished bool, teams int) {
	const claims = 100_000
	for range b.N {
		before := heapBytes()
		m := state.NewMachine(state.DefaultLimits())
		for i := range claims {
			key := model.HashKey("t", fmt.Sprint(i))
			id := model.RequestID{Instance: "instance-1", Incarnation: 1, Seq: uint64(i)}
			var team model.TeamID
			if teams > 0 {
				team = model.TeamID(fmt.Sprintf("%0128d", i%teams))
			}
			m.Apply(m.Applied()+1, time.Unix(0, 0), state.Claim{Key: key, Team: team, Request: id})
			if finished {
				m.Apply(m.Applied()+1, time.Unix(0, 0), state.Finish{Key: key, Request: id})
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB/100k-claims")
		b.ReportMetric(float64(m.ClaimCount()), "claims")
		runtime.KeepAlive(m)
	}
}
