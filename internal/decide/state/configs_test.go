package state_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// configsMachine is a rapid state machine that checks configuration changes and leases.
type configsMachine struct {
	machine  *state.Machine
	accepted map[string]state.ApplyConfig
	winners  map[model.Revision]string
	first    map[string]state.Result
	epochs   map[string]model.Epoch
}

func newConfigsMachine() *configsMachine {
	return &configsMachine{
		machine: state.NewMachine(smallLimits()), accepted: make(map[string]state.ApplyConfig),
		winners: make(map[model.Revision]string), first: make(map[string]state.Result), epochs: make(map[string]model.Epoch),
	}
}

func (m *configsMachine) apply(c state.Command) state.Result {
	r := m.machine.Apply(m.machine.Applied()+1, time.Unix(0, 0), c)
	r.Index = 0
	return r
}

// Apply proposes a change; the small ranges make resent changes and equal numbers frequent.
func (m *configsMachine) Apply(t *rapid.T) {
	current := m.machine.Config().Revision
	c := state.ApplyConfig{
		ChangeID: fmt.Sprintf("c%d", rapid.IntRange(0, 9).Draw(t, "id")),
		Base:     model.Revision(max(0, int(current)+rapid.IntRange(-2, 1).Draw(t, "base"))),
		Content:  []byte{byte(rapid.IntRange(0, 4).Draw(t, "content") / 4)},
	}
	c.Number = c.Base + model.Revision(rapid.IntRange(0, 2).Draw(t, "step"))
	c.Operator = "operator of " + c.ChangeID
	r := m.apply(c)
	identity := fmt.Sprintf("%+v", c)
	earlier, known := m.accepted[c.ChangeID]
	switch {
	case known && string(earlier.Content) != string(c.Content):
		var reused *fault.ChangeReused
		if !errors.As(r.Err, &reused) {
			t.Fatalf("%s: got %+v, want ChangeReused", identity, r)
		}
	case known:
		if r.Err != nil || r.Revision != earlier.Number {
			t.Fatalf("%s: resent change got %+v, want revision %d", identity, r, earlier.Number)
		}
	case m.first[identity].Err != nil:
		if !reflect.DeepEqual(r, m.first[identity]) {
			t.Fatalf("%s: resent change got %+v, first %+v", identity, r, m.first[identity])
		}
	case r.Err == nil:
		m.accept(t, c, current, r)
	default:
		m.lost(t, c, current, r)
		m.first[identity] = r
	}
}

func (m *configsMachine) accept(t *rapid.T, c state.ApplyConfig, current model.Revision, r state.Result) {
	if c.Base != current || c.Number <= current || r.Revision != c.Number || m.winners[c.Number] != "" {
		t.Fatalf("accepted %+v on revision %d: %+v", c, current, r)
	}
	m.accepted[c.ChangeID], m.winners[c.Number] = c, c.ChangeID
}

func (m *configsMachine) lost(t *rapid.T, c state.ApplyConfig, current model.Revision, r state.Result) {
	var conflict *fault.ConfigConflict
	if !errors.As(r.Err, &conflict) || c.Base == current && c.Number > current {
		t.Fatalf("%+v on revision %d got %+v", c, current, r)
	}
	winner, ok := m.winners[c.Number]
	if !ok {
		winner = m.machine.Config().ChangeID
	}
	if conflict.Number != c.Number || conflict.Current != current || conflict.WinnerChange != winner {
		t.Fatalf("%+v: conflict %+v, want winner %q", c, conflict, winner)
	}
	if winner != "" && conflict.WinnerOperator != "operator of "+winner {
		t.Fatalf("conflict %+v names the wrong operator", conflict)
	}
}

func (m *configsMachine) lease(t *rapid.T) string {
	return fmt.Sprintf("l%d", rapid.IntRange(0, 3).Draw(t, "lease"))
}

// Acquire acquires a lease, also with a stale epoch.
func (m *configsMachine) Acquire(t *rapid.T) {
	name := m.lease(t)
	before := m.machine.Leases()[name]
	after := model.Epoch(max(0, int(before.Epoch)+rapid.IntRange(-1, 1).Draw(t, "after")))
	r := m.apply(state.AcquireLease{Name: name, Holder: "i1", Incarnation: 1, After: after})
	if after != before.Epoch && r.Lease != before {
		t.Fatalf("a stale acquire changed %+v to %+v", before, r.Lease)
	}
}

// Release releases a lease, also with a stale epoch.
func (m *configsMachine) Release(t *rapid.T) {
	m.apply(state.ReleaseLease{Name: m.lease(t), Epoch: model.Epoch(rapid.IntRange(0, 4).Draw(t, "epoch"))})
}

// Restore replaces the machine by one imported from its export.
func (m *configsMachine) Restore(t *rapid.T) {
	restored, err := state.Import(m.machine.Export(), smallLimits())
	if err != nil {
		t.Fatal(err)
	}
	m.machine = restored
}

// Check implements rapid.StateMachine: leases stay within their limit and epochs never decrease.
func (m *configsMachine) Check(t *rapid.T) {
	leases := m.machine.Leases()
	if len(leases) > smallLimits().Leases {
		t.Fatalf("%d leases are above the limit", len(leases))
	}
	for name, l := range leases {
		if l.Epoch < m.epochs[name] || l.Epoch == 0 {
			t.Fatalf("epoch of %q went from %d to %d", name, m.epochs[name], l.Epoch)
		}
		m.epochs[name] = l.Epoch
	}
}

// Guards against two accepted changes with one number, a conflict that names the wrong winner, a
// resent change with a different result, and a fencing token that decreases.
func TestConfigurationsAndLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(rapid.StateMachineActions(newConfigsMachine())) })
}

// Guards against a conflict that names the latest change instead of the winner of the number.
func TestConflictNamesWinnerOfItsNumber(t *testing.T) {
	m := newConfigsMachine()
	m.apply(state.ApplyConfig{ChangeID: "winner", Number: 1, Operator: "ana"})
	m.apply(state.ApplyConfig{ChangeID: "later", Base: 1, Number: 2, Operator: "luz"})
	r := m.apply(state.ApplyConfig{ChangeID: "loser", Number: 1, Operator: "eva"})
	want := &fault.ConfigConflict{Number: 1, Current: 2, WinnerChange: "winner", WinnerOperator: "ana"}
	if !reflect.DeepEqual(r.Err, fault.Fault(want)) {
		t.Fatalf("got %v, want %v", r.Err, want)
	}
}

// Guards against an entry that is applied twice, and against importing an export that no machine
// can have produced.
func TestApplyTwiceAndImportChecks(t *testing.T) {
	m := newConfigsMachine()
	c := state.AcquireLease{Name: "l", Holder: "i1"}
	m.machine.Apply(1, time.Unix(0, 0), c)
	m.machine.Apply(1, time.Unix(0, 0), state.AcquireLease{Name: "l", Holder: "i2", After: 1})
	if l := m.machine.Leases()["l"]; l.Epoch != 1 {
		t.Fatalf("lease is %+v, want epoch 1", l)
	}
	var invalid *state.InvalidExportError
	for _, e := range []state.Export{
		{Floor: 1},
		{Claims: []state.ClaimRecord{{Status: state.ClaimWon}}},
		{Claims: []state.ClaimRecord{{Status: state.ClaimHeld}, {Status: state.ClaimUnknown}}},
		{Barriers: make([]state.Barrier, 2)},
		{Changes: []state.Change{{AcceptedConfig: state.AcceptedConfig{Revision: 2}}}},
		{Leases: make([]state.Lease, 2)},
		{Claims: []state.ClaimRecord{{Status: state.ClaimFinished, Answer: &model.Answer{Body: make([]byte, 21)}}}},
	} {
		if _, err := state.Import(e, smallLimits()); !errors.As(err, &invalid) {
			t.Errorf("%+v: got %v, want InvalidExportError", e, err)
		}
	}
}

// Guards against a page of the history that skips or repeats a change, also when the oldest
// changes were removed or one is accepted between two reads.
func TestHistoryInPages(t *testing.T) {
	limits := state.DefaultLimits()
	limits.Changes = 2*state.ChangesPerPage + 10
	m := state.NewMachine(limits)
	accept := func() {
		r := m.Config().Revision
		m.Apply(m.Applied()+1, time.Unix(0, 0), state.ApplyConfig{ChangeID: fmt.Sprint(r), Base: r, Number: r + 2})
	}
	for range limits.Changes + 20 {
		accept()
	}
	var want, got []model.Revision
	for _, c := range m.History() {
		want = append(want, c.Revision)
	}
	for before := model.Revision(0); ; {
		r, ok := m.Read(state.ListChanges{Before: before})
		if !ok || len(r.Changes) == 0 || len(r.Changes) > state.ChangesPerPage {
			t.Fatalf("a page of %d changes", len(r.Changes))
		}
		var page []model.Revision
		for _, c := range r.Changes {
			page = append(page, c.Revision)
		}
		if got == nil {
			accept()
		}
		got = append(page, got...)
		if before = page[0]; !r.Older {
			break
		}
	}
	// The change accepted after the first page evicted the oldest one.
	if !reflect.DeepEqual(got, want[1:]) {
		t.Fatalf("got %d changes from %d to %d, want %d", len(got), got[0], got[len(got)-1], len(want)-1)
	}
}
