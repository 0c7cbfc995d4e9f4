package control_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// forEachClaim calls act for the claims first to last, 64 at a time.
func (c *client) forEachClaim(first, last int, act func(c *client, i int)) {
	var wg sync.WaitGroup
	var next atomic.Int64
	next.Store(int64(first))
	for range 64 {
		wg.Go(func() {
			for i := next.Add(1) - 1; i <= int64(last); i = next.Add(1) - 1 {
				act(c, int(i))
			}
		})
	}
	wg.Wait()
}

func expectWon(c *client, i int) {
	if r := c.do(claim(i)); r.Claim != state.ClaimWon {
		c.g.t.Errorf("claim %d is %s", i, r.Claim)
	}
}

func expectHeld(c *client, i int) {
	if r := c.do(state.Lookup{Key: claim(i).Key}); r.Claim != state.ClaimHeld {
		c.g.t.Errorf("accepted claim %d is %s", i, r.Claim)
	}
}

// runningVoters returns the running initial voters without the given ones.
func (g *group) runningVoters(without ...model.InstanceID) []model.InstanceID {
	return slices.DeleteFunc(slices.Clone(g.initial), func(id model.InstanceID) bool {
		return g.voters[id] == nil || slices.Contains(without, id)
	})
}

// Guards against a voter that votes after its folder was restored from an older copy. With its
// vote, the third voter would become leader and lose a claim that the restored voter had
// acknowledged.
func TestRestoredFolderDoesNotVote(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.useDisks(5 * time.Millisecond)
		g.startAll()
		c := g.client()
		c.do(claim(1))
		leader := g.waitForLeader().id
		victim, third := g.runningVoters(leader)[0], g.runningVoters(leader)[1]
		folder, backup := filepath.Join(g.dir, string(victim)), filepath.Join(g.dir, "copy")
		g.crash(victim)
		if err := os.CopyFS(backup, os.DirFS(folder)); err != nil {
			t.Fatal(err)
		}
		g.restart(victim, false)
		old := g.voters[victim].service.Status().Self
		g.eventually("the third voter knows the new start", func() bool {
			st := g.voters[third].service.Status()
			r, _ := st.Members.Find(old)
			return r.Boot.Counter == 2 && r.BootIndex <= st.Commit
		})
		g.crash(third)
		c.do(claim(2))
		g.crash(victim)
		g.crash(leader)
		if err := os.RemoveAll(folder); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(folder, os.DirFS(backup)); err != nil {
			t.Fatal(err)
		}
		var learned, voted atomic.Bool
		g.hub.setIntercept(func(_, _ model.InstanceID, body any) any {
			m, ok := body.(consensus.Message)
			for _, e := range m.Entries {
				for _, r := range e.Members.Members {
					if r.Instance == victim && r.Folder != old.Folder {
						learned.Store(learned.Load() || r.Learner)
						voted.Store(voted.Load() || !r.Learner && !learned.Load())
					}
				}
			}
			if ok && m.From == old && m.Type == consensus.MsgVoteReply && !m.Reject {
				t.Error("the restored voter voted under its old identity")
			}
			return body
		})
		g.restart(victim, false)
		g.restart(third, false)
		g.eventually("the voter has discarded its old identity", func() bool { return g.voters[victim].service.Status().Self.Folder != old.Folder })
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if g.leader() != nil {
				t.Fatal("a leader was elected without the voters that hold everything accepted")
			}
		}
		g.restart(leader, false)
		g.eventually("three voters, one with a new identity", func() bool {
			l := g.leader()
			return l != nil && l.service.Status().Members.IsVoter(g.voters[victim].service.Status().Self) && len(l.service.Status().Members.Members) == 3
		})
		expectHeld(c, 2)
		if !learned.Load() || voted.Load() {
			t.Error("the voter did not join as a learner")
		}
	})
}

// Guards against a repaired voter that has no vote when the next machines are lost with their
// folders, as many as the group may lose. It must catch up by snapshot while claims continue.
func TestRepairedVoterCountsAtTheNextLoss(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size, " voters"), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				const compacted = 10_100
				g := newGroup(t, size)
				g.useDisks(time.Millisecond)
				g.startAll()
				g.waitForLeader()
				c := g.client()
				c.forEachClaim(1, compacted, expectWon)
				leader := g.waitForLeader().id
				victim := g.runningVoters(leader)[0]
				g.crash(victim)
				var snapshots atomic.Int64
				g.hub.setIntercept(func(_, to model.InstanceID, body any) any {
					if m, ok := body.(consensus.Message); ok && to == victim && m.Type == consensus.MsgSnapshot {
						snapshots.Add(1)
					}
					return body
				})
				g.restart(victim, true)
				self := g.voters[victim].service.Status().Self
				last := compacted
				g.eventually("the repaired voter has a vote", func() bool {
					c.forEachClaim(last+1, last+2, expectWon)
					last += 2
					l := g.leader()
					return l != nil && l.service.Status().Members.IsVoter(self) && len(l.service.Status().Members.Voters()) == size
				})
				leader = g.waitForLeader().id
				for _, id := range append(g.runningVoters(leader, victim)[1:size/2], leader) {
					g.crash(id)
					if err := os.RemoveAll(filepath.Join(g.dir, string(id))); err != nil {
						t.Fatal(err)
					}
				}
				c.forEachClaim(1, last, expectHeld)
				c.forEachClaim(last+1, last+20, expectWon)
				if snapshots.Load() == 0 {
					t.Error("the repaired voter did not catch up by snapshot")
				}
			})
		})
	}
}
