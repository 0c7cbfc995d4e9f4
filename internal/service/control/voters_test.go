package control_test

import (
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

func add(id model.InstanceID) state.Command    { return state.ChangeVoters{Instance: id} }
func remove(id model.InstanceID) state.Command { return state.ChangeVoters{Instance: id, Remove: true} }

// members returns the instances in the leader's membership, sorted, and whether all vote.
func (g *group) members() (ids []model.InstanceID, vote bool) {
	l := g.leader()
	if l == nil {
		return nil, false
	}
	vote = true
	for _, r := range l.service.Status().Members.Members {
		ids = append(ids, r.Instance)
		vote = vote && !r.Learner
	}
	slices.Sort(ids)
	return ids, vote
}

func (g *group) hasVoters(want ...model.InstanceID) func() bool {
	return func() bool {
		ids, vote := g.members()
		return vote && slices.Equal(ids, want)
	}
}

// Guards against a change of voters that is answered before it is committed, is lost with its
// leader, is undone because the removed instance joins again, or leaves no voter.
func TestVotersAreAddedAndRemoved(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	c := g.client()
	c.targets = append(slices.Clone(g.initial), "v3")
	c.do(claim(1))
	if err := g.start("v3"); err != nil {
		t.Fatal(err)
	}
	// The leader that permitted the instance to join removes it again, and must revoke the permission.
	for _, change := range []state.Command{add("v3"), remove("v3")} {
		if err := c.changeVoters(change); err != nil {
			t.Fatal(err)
		}
		g.eventually("the change shows", func() bool {
			want := []model.InstanceID{"v0", "v1", "v2", "v3"}
			return g.hasVoters(want[:len(want)-len(removed(change))]...)()
		})
	}
	g.expectStableMembers("v0", "v1", "v2")
	if err := c.changeVoters(add("v3")); err != nil {
		t.Fatal(err)
	}
	g.eventually("four voters", g.hasVoters("v0", "v1", "v2", "v3"))
	// The removed instances keep running and would rejoin if they could. The leader is always removed
	// first.
	remaining := []model.InstanceID{"v0", "v1", "v2", "v3"}
	for len(remaining) > 1 {
		var target model.InstanceID
		g.eventually("a leader that can change voters", func() bool {
			l := g.leader()
			if l != nil {
				target = l.id
			}
			return l != nil
		})
		err := c.changeVoters(remove(target))
		var unknown *fault.UnknownVoter
		if err != nil && !asFault(err, &unknown) {
			t.Fatalf("removal of %s: %v", target, err)
		}
		remaining = slices.DeleteFunc(remaining, func(id model.InstanceID) bool { return id == target })
		g.eventually("the voter is removed", g.hasVoters(remaining...))
	}
	if err := c.changeVoters(remove(remaining[0])); !reflect.DeepEqual(err, &fault.LastVoter{Instance: remaining[0]}) {
		t.Fatalf("removal of the last voter: %v", err)
	}
	if r := c.do(state.Lookup{Key: claim(1).Key}); r.Claim != state.ClaimHeld {
		t.Fatalf("the claim is %s", r.Claim)
	}
	g.expectStableMembers(remaining...)
}

func removed(c state.Command) []model.InstanceID {
	if c := c.(state.ChangeVoters); c.Remove {
		return []model.InstanceID{c.Instance}
	}
	return nil
}

// expectStableMembers fails if a removed instance joins again within two seconds. Each asks to join
// about once a second.
func (g *group) expectStableMembers(want ...model.InstanceID) {
	g.t.Helper()
	g.eventually("the members settle", g.hasVoters(want...))
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ids, _ := g.members(); ids != nil && !slices.Equal(ids, want) {
			g.t.Fatalf("members are %v, want %v", ids, want)
		}
	}
}

// changeVoters repeats a change, as an operator would, while another one is in progress.
func (c *client) changeVoters(command state.Command) fault.Fault {
	for end := time.Now().Add(waitLimit); ; time.Sleep(10 * time.Millisecond) {
		err := c.do(command).Err
		var busy *fault.VoterChangeInProgress
		if !asFault(err, &busy) || time.Now().After(end) {
			return err
		}
	}
}

func asFault[T fault.Fault](f fault.Fault, target *T) bool {
	v, ok := f.(T)
	*target = v
	return ok
}

// Guards against a refusal with the wrong fault type, and against a removal that is refused when it
// is resent after its answer was lost.
func TestVoterChangesAreRefusedByType(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	c := g.client()
	c.do(claim(1))
	var wg sync.WaitGroup
	began := c.id.Load()
	wg.Go(func() {
		if err := c.changeVoters(add("ghost")); !reflect.DeepEqual(err, &fault.UnknownVoter{Instance: "ghost"}) {
			t.Errorf("an instance that does not run: %v", err)
		}
	})
	g.eventually("the change was sent", func() bool { return c.id.Load() > began })
	g.eventually("the change is in progress", func() bool {
		return reflect.DeepEqual(c.do(remove("absent")).Err, &fault.VoterChangeInProgress{Instance: "absent"})
	})
	wg.Wait()
	if err := c.changeVoters(remove("ghost")); !reflect.DeepEqual(err, &fault.UnknownVoter{Instance: "ghost"}) {
		t.Errorf("removal of an unknown instance: %v", err)
	}
	id := c.id.Add(1)
	victim := g.initial[0]
	if g.leader().id == victim {
		victim = g.initial[1]
	}
	for range 2 {
		g.eventually("the removal is answered", func() bool {
			r, ok := c.send(id, remove(victim))
			var busy *fault.VoterChangeInProgress
			if ok && asFault(r.Err, &busy) {
				return false
			}
			if ok && r.Err != nil {
				t.Fatal(r.Err)
			}
			return ok
		})
	}
}

// Guards against a removal after which the remaining voters cannot commit anything, and against
// the refusal of a removal that leaves a working quorum, including the removal of an unreachable
// voter.
func TestRemovalThatLosesTheQuorumIsRefused(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	c := g.client()
	c.do(claim(1))
	var silent, other model.InstanceID
	g.eventually("a leader with two followers", func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		rest := slices.DeleteFunc(slices.Clone(g.initial), func(id model.InstanceID) bool { return id == l.id })
		silent, other = rest[0], rest[1]
		return true
	})
	g.hub.setIsolated(silent, true)
	leader := g.leader().id
	for _, id := range []model.InstanceID{other, leader} {
		g.eventually("the removal is refused", func() bool {
			err := c.changeVoters(remove(id))
			var lost *fault.QuorumLost
			if err == nil || asFault(err, &lost) && !reflect.DeepEqual(lost, &fault.QuorumLost{Instance: id, Needed: 2, Reachable: 1, Silent: []model.InstanceID{silent}}) {
				t.Fatalf("removal of %s: %v", id, err)
			}
			return lost != nil
		})
	}
	if r := c.do(claim(2)); r.Claim != state.ClaimWon {
		t.Fatalf("the group that refused the removals: %+v", r)
	}
	// The silent voter itself can be removed, because the two others answer.
	if err := c.changeVoters(remove(silent)); err != nil {
		t.Fatalf("removal of the silent voter: %v", err)
	}
	if err := c.changeVoters(remove(other)); err != nil {
		t.Fatalf("removal with a working quorum: %v", err)
	}
	if r := c.do(claim(3)); r.Claim != state.ClaimWon {
		t.Fatalf("the voter that remains: %+v", r)
	}
}
