package state_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// teamsMachine applies claims of several teams at the time now.
type teamsMachine struct {
	*state.Machine
	now time.Time
}

func newTeamsMachine(claims int) *teamsMachine {
	l := state.DefaultLimits()
	l.Claims = claims
	return &teamsMachine{Machine: state.NewMachine(l), now: time.Unix(1000, 0)}
}

func (m *teamsMachine) apply(c state.Command) state.Result {
	return m.Apply(m.Applied()+1, m.now, c)
}

func (m *teamsMachine) claim(team model.TeamID, i int) state.Result {
	return m.apply(state.Claim{Key: model.HashKey(team, fmt.Sprint(i)), Team: team, Request: requestOf(team, i), SeenIndex: m.Applied()})
}

func requestOf(team model.TeamID, i int) model.RequestID {
	return model.RequestID{Instance: "i-" + model.InstanceID(team), Incarnation: 1, Seq: uint64(i)}
}

// claimAll claims keys [from, to) of a team and returns the number of claims won.
func (m *teamsMachine) claimAll(team model.TeamID, from, to int) int {
	won := 0
	for i := from; i < to; i++ {
		if m.claim(team, i).Claim == state.ClaimWon {
			won++
		}
	}
	return won
}

// Guards against a team that exhausts the claim table with many different keys, so that requests
// of other teams are refused.
func TestOneTeamCannotExhaustTheTable(t *testing.T) {
	const places = 300
	m := newTeamsMachine(places)
	if won := m.claimAll("flood", 0, 10*places); won != places/2 {
		t.Errorf("one team alone won %d of %d places, want half", won, places)
	}
	if won := m.claimAll("studio", 0, 20); won != 20 {
		t.Fatalf("another team won %d of 20 bookings", won)
	}
	var full *fault.ClaimsFull
	r := m.claim("flood", 10*places)
	if want := (fault.ClaimsFull{Team: "flood", Held: 150, Bound: 130, Limit: places}); !errors.As(r.Err, &full) || *full != want {
		t.Errorf("the error is %+v, want %+v", r.Err, want)
	}
	// The bound does not affect attempts that already hold a claim.
	if r := m.claim("flood", 0); r.Claim != state.ClaimWon {
		t.Errorf("a resent claim of a team at its bound returned %v", r.Claim)
	}
	join := state.Claim{Key: model.HashKey("flood", "0"), Team: "flood", Request: requestOf("flood", 99_999), SeenIndex: m.Applied()}
	if r := m.apply(join); r.Claim != state.ClaimHeld {
		t.Errorf("a second attempt at a claimed key returned %v, want held", r.Claim)
	}
	for i := range places / 2 {
		if r := m.apply(state.Finish{Key: model.HashKey("flood", fmt.Sprint(i)), Request: requestOf("flood", i)}); r.Claim != state.ClaimFinished {
			t.Fatalf("finish %d of the team at its bound returned %v", i, r.Claim)
		}
	}
	if r := m.claim("flood", places); r.Claim != state.ClaimFull {
		t.Errorf("with its finished claims still retained, the team's next claim returned %v", r.Claim)
	}
	m.now = m.now.Add(state.DefaultLimits().Retention + time.Second)
	// 20 claims of the other team are still held: (300-20)/2 places.
	if won := m.claimAll("flood", 10*places, 20*places); won != 140 {
		t.Errorf("after its claims expired the team won %d places, want 140", won)
	}
}

// Guards against a per-team bound that does not shrink when more teams claim keys.
func TestTwoTeamsGetAThirdEach(t *testing.T) {
	const places = 300
	m := newTeamsMachine(places)
	won := map[model.TeamID]int{}
	for i := range 10 * places {
		for _, team := range []model.TeamID{"a", "b"} {
			won[team] += m.claimAll(team, i, i+1)
		}
	}
	if want := (map[model.TeamID]int{"a": places / 3, "b": places / 3}); !reflect.DeepEqual(won, want) {
		t.Errorf("the teams won %v, want %v", won, want)
	}
}

// Guards against refusing a claim without a team, which was won before claims had one, when its
// log entry is replayed after an upgrade, and against not counting such claims as used places.
func TestClaimsWithoutTeamKeepTheirOutcome(t *testing.T) {
	const places = 300
	m := newTeamsMachine(places)
	if won := m.claimAll("", 0, 200); won != 200 {
		t.Fatalf("%d of 200 claims without a team were won", won)
	}
	if won := m.claimAll("studio", 0, places); won != 50 {
		t.Errorf("a team won %d places, want half of the 100 free ones", won)
	}
	if won := m.claimAll("", 200, places); won != 50 {
		t.Errorf("claims without a team took %d of the 50 places that were left", won)
	}
	if r := m.claim("late", 0); r.Claim != state.ClaimFull {
		t.Errorf("a claim in a full table returned %v", r.Claim)
	}
}

// Guards against an imported machine that counts the claims of a team differently.
func TestImportKeepsTheBoundsOfTeams(t *testing.T) {
	const places = 30
	m := newTeamsMachine(places)
	m.claimAll("a", 0, 10*places)
	m.claimAll("b", 0, 3)
	m.apply(state.OwnerDead{Instance: "i-a", Incarnation: 1})
	m.apply(state.Finish{Key: model.HashKey("b", "0"), Request: requestOf("b", 0)})
	l := state.DefaultLimits()
	l.Claims = places
	restored, err := state.Import(m.Export(), l)
	if err != nil {
		t.Fatal(err)
	}
	again := &teamsMachine{Machine: restored, now: m.now}
	for i := 3; i < places; i++ {
		for _, team := range []model.TeamID{"b", "a", "c"} {
			if got, want := again.claim(team, 1000+i), m.claim(team, 1000+i); !reflect.DeepEqual(got, want) {
				t.Fatalf("claim %d of %q: the imported machine returned %+v, the original %+v", i, team, got, want)
			}
		}
	}
	if !reflect.DeepEqual(again.Export(), m.Export()) {
		t.Error("the states differ after equal claims")
	}
}
