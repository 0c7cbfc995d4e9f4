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

// teamsMachine applies claims of several teams.
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

// claimAll claims keys [from, to) of a team and returns how many were won.
func (m *teamsMachine) claimAll(team model.TeamID, from, to int) int {
	won := 0
	for i := from; i < to; i++ {
		if m.claim(team, i).Claim == state.ClaimWon {
			won++
		}
	}
	return won
}

// Guards against a team that stops the bookings of the others by sending many different keys.
func TestOneTeamLeavesRoomForOthers(t *testing.T) {
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
		t.Errorf("the refusal is %+v, want %+v", r.Err, want)
	}
	// What holds a claim is not affected by the bound.
	if r := m.claim("flood", 0); r.Claim != state.ClaimWon {
		t.Errorf("a resent claim of the team at its bound is %v", r.Claim)
	}
	join := state.Claim{Key: model.HashKey("flood", "0"), Team: "flood", Request: requestOf("flood", 99_999), SeenIndex: m.Applied()}
	if r := m.apply(join); r.Claim != state.ClaimHeld {
		t.Errorf("a second attempt at a claimed key is %v, want held", r.Claim)
	}
	for i := range places / 2 {
		if r := m.apply(state.Finish{Key: model.HashKey("flood", fmt.Sprint(i)), Request: requestOf("flood", i)}); r.Claim != state.ClaimFinished {
			t.Fatalf("finish %d of the team at its bound is %v", i, r.Claim)
		}
	}
	if r := m.claim("flood", places); r.Claim != state.ClaimFull {
		t.Errorf("with its claims finished but kept the team's next claim is %v", r.Claim)
	}
	m.now = m.now.Add(state.DefaultLimits().Retention + time.Second)
	// 20 claims of the other team are still held: (300-20)/2 places.
	if won := m.claimAll("flood", 10*places, 20*places); won != 140 {
		t.Errorf("after its claims expired the team won %d places, want 140", won)
	}
}

// Guards against shares that do not shrink when more teams need room.
func TestTwoTeamsTakeAThirdEach(t *testing.T) {
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

// Guards against a claim that was won before claims had a team and is refused when its entry is
// applied again after an upgrade, and against such claims that do not take room.
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
		t.Errorf("a full table answers %v", r.Claim)
	}
}

// Guards against a restored state that counts the claims of a team differently.
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
				t.Fatalf("claim %d of %q: the restored state answers %+v, the other %+v", i, team, got, want)
			}
		}
	}
	if !reflect.DeepEqual(again.Export(), m.Export()) {
		t.Error("the states differ after equal claims")
	}
}
