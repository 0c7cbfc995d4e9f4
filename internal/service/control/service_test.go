package control_test

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

func claim(i int) state.Claim {
	return state.Claim{
		Key:     model.HashKey("team", fmt.Sprint(i)),
		Request: model.RequestID{Instance: "client", Incarnation: 1, Seq: uint64(i)},
	}
}

func (g *group) leader() *voter {
	for _, v := range g.voters {
		if st := v.service.Status(); st.Role == consensus.Leader && st.Settled {
			return v
		}
	}
	return nil
}

// Guards against accepted commands that are lost when each voter restarts in turn, and against
// commands in progress that are not answered when the leader changes.
func TestAcceptedCommandsSurviveRestarts(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	c := g.client()
	// The group is founded only while all initial voters are running.
	c.do(claim(0))
	next := 0
	for _, id := range g.initial {
		var wg sync.WaitGroup
		for range 50 {
			next++
			i := next
			wg.Go(func() {
				if r := c.do(claim(i)); r.Claim != state.ClaimWon {
					t.Errorf("claim %d is %s", i, r.Claim)
				}
			})
		}
		g.stop(id)
		wg.Wait()
		if err := g.start(id); err != nil {
			t.Fatal(err)
		}
	}
	for i := 1; i <= next; i++ {
		if r := c.do(state.Lookup{Key: claim(i).Key}); r.Claim != state.ClaimHeld {
			t.Fatalf("claim %d is %s after the restarts", i, r.Claim)
		}
	}
}

// Guards against an Await that is answered while the claim is held, or never.
func TestAwaitIsAnsweredWhenTheClaimEnds(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	c := g.client()
	c.do(claim(1))
	var got atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		r := c.do(state.Await{Lookup: state.Lookup{Key: claim(1).Key}})
		got.Store(int64(r.Claim))
	})
	g.eventually("await is parked", func() bool { return c.id.Load() >= 2 })
	c.do(state.Finish{Key: claim(1).Key, Request: claim(1).Request})
	wg.Wait()
	if s := state.ClaimStatus(got.Load()); s != state.ClaimFinished {
		t.Fatalf("await was answered with %s", s)
	}
}

// Guards against accepted commands that are lost when a second folder is lost after the first one
// was repaired.
func TestWipedVoterCountsAgainBeforeTheNextLoss(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	c := g.client()
	for i := range 20 {
		c.do(claim(i))
	}
	for round, id := range g.initial {
		folder := g.voters[id].folder
		g.stop(id)
		if err := os.RemoveAll(folder); err != nil {
			t.Fatal(err)
		}
		if err := g.start(id); err != nil {
			t.Fatal(err)
		}
		self := g.voters[id].service.Status().Self
		g.eventually("the new folder is a voter", func() bool {
			l := g.leader()
			return l != nil && l.service.Status().Members.IsVoter(self) && len(l.service.Status().Members.Voters()) == 3
		})
		for i := range 20 {
			if r := c.do(state.Lookup{Key: claim(i).Key}); r.Claim != state.ClaimHeld {
				t.Fatalf("round %d: claim %d is %s", round, i, r.Claim)
			}
		}
	}
}

// Guards against an isolated leader that answers a lookup from stale state.
func TestIsolatedLeaderAnswersNoLookup(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	c := g.client()
	c.do(claim(1))
	old := g.leader()
	g.hub.setIsolated(old.id, true)
	g.eventually("another leader", func() bool { l := g.leader(); return l != nil && l != old })
	c.target.Store(&g.leader().id)
	c.do(state.Finish{Key: claim(1).Key, Request: claim(1).Request})
	c.target.Store(&old.id)
	if r, ok := c.try(state.Lookup{Key: claim(1).Key}); ok {
		t.Fatalf("the isolated leader answered %s", r.Claim)
	}
	g.hub.setIsolated(old.id, false)
	if r := c.do(state.Lookup{Key: claim(1).Key}); r.Claim != state.ClaimFinished {
		t.Fatalf("claim is %s", r.Claim)
	}
}

// Guards against a voter that continues to vote after a failed sync. Here it is the leader.
func TestVoterWithFailedSyncStopsVoting(t *testing.T) {
	g := newGroup(t, 3)
	g.useDisks(0)
	g.startAll()
	c := g.client()
	c.do(claim(1))
	bad := g.leader()
	g.disk(bad.id).failSyncs.Store(true)
	if r := c.do(claim(2)); r.Claim != state.ClaimWon {
		t.Fatalf("claim is %s", r.Claim)
	}
	g.eventually("the voter is unhealthy", func() bool {
		var failed *fault.VoterFailed
		return errors.As(bad.service.Health(), &failed) && bad.service.Status().Role == consensus.Halted
	})
	if r := c.do(claim(3)); r.Claim != state.ClaimWon {
		t.Fatalf("claim is %s", r.Claim)
	}
}

// Guards against a voter that starts with the folder of another instance.
func TestFolderOfAnotherInstanceIsRefused(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	folder := g.voters["v1"].folder
	g.stop("v1")
	g.stop("v2")
	if err := os.RemoveAll(g.dir + "/v2"); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(folder, g.dir+"/v2"); err != nil {
		t.Fatal(err)
	}
	err := g.start("v2")
	var foreign *fault.ForeignFolder
	if !errors.As(err, &foreign) {
		var wrapped interface{ Unwrap() error }
		if !errors.As(err, &wrapped) || !errors.As(wrapped.Unwrap(), &foreign) {
			t.Fatalf("start returned %v", err)
		}
	}
	if foreign.Owner != "v1" {
		t.Fatalf("owner is %q", foreign.Owner)
	}
}
