package control_test

import (
	"testing"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/service/control"
)

// voterSet returns the voters and the learners in the membership of the settled leader.
func (g *group) voterSet() (voters, learners map[model.InstanceID]bool) {
	voters, learners = make(map[model.InstanceID]bool), make(map[model.InstanceID]bool)
	for _, v := range g.voters {
		st := v.service.Status()
		if st.Role != consensus.Leader || !st.Settled {
			continue
		}
		for _, r := range st.Members.Members {
			if r.Learner {
				learners[r.Instance] = true
			} else {
				voters[r.Instance] = true
			}
		}
	}
	return voters, learners
}

// Guards against a group that waits for an operator after a machine was lost for good. It must
// return to three voters, so that the next loss does not lose accepted changes.
func TestALearnerTakesThePlaceOfALostVoter(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.unattended = &control.Unattended{Found: true, Voters: 3}
		g.startAll()
		c := g.client()
		c.do(state.ReplaceConfig{Number: 1, Content: []byte("a")})
		g.unattended = &control.Unattended{Voters: 3}
		if err := g.start("v9"); err != nil {
			t.Fatal(err)
		}
		g.eventually("the new instance is a learner", func() bool {
			_, learners := g.voterSet()
			return learners["v9"]
		})
		lost := g.runningVoters(g.waitForLeader().id)[0]
		g.stop(lost)
		g.eventually("the new instance has replaced the lost voter", func() bool {
			voters, _ := g.voterSet()
			return len(voters) == 3 && voters["v9"] && !voters[lost]
		})
		// After another loss, the new voter and one of the initial voters are a majority.
		c.targets = append(c.targets, "v9")
		g.stop(g.runningVoters(g.waitForLeader().id)[0])
		if r := c.do(state.ReplaceConfig{Number: 2, Content: []byte("b")}); r.Revision != 2 {
			t.Errorf("revision %d is in force", r.Revision)
		}
	})
}

// Guards against a voter that stays halted after its disk was full, although the disk has room
// again.
func TestAVoterGoesOnAfterItsDiskFailed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.unattended = &control.Unattended{Found: true, Voters: 3}
		g.useDisks(time.Millisecond)
		g.startAll()
		c := g.client()
		c.do(state.ReplaceConfig{Number: 1, Content: []byte("a")})
		failing := g.runningVoters(g.waitForLeader().id)[0]
		g.disk(failing).failSyncs.Store(true)
		c.do(state.ReplaceConfig{Number: 2, Content: []byte("b")})
		g.eventually("the voter has failed", func() bool { return g.voters[failing].service.Health() != nil })
		g.disk(failing).failSyncs.Store(false)
		g.eventually("the voter is healthy again", func() bool { return g.voters[failing].service.Health() == nil })
		other := g.runningVoters(g.waitForLeader().id, failing)
		if len(other) == 0 {
			other = g.runningVoters(failing)[:1]
		}
		g.stop(other[0])
		if r := c.do(state.ReplaceConfig{Number: 3, Content: []byte("c")}); r.Revision != 3 {
			t.Errorf("revision %d is in force", r.Revision)
		}
		if r := c.do(state.ReadConfig{}); string(r.Changes[0].Content) != "c" {
			t.Errorf("%q is in force", r.Changes[0].Content)
		}
	})
}

// Guards against a second group next to the first one: machines that start with empty disks and
// without Found must not found a group, whatever voters their settings list.
func TestOnlyAFirstStartFounds(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.unattended = &control.Unattended{Voters: 3}
		g.startAll()
		time.Sleep(30 * time.Second)
		for id, v := range g.voters {
			if st := v.service.Status(); st.Term != 0 || len(st.Members.Members) != 0 {
				t.Errorf("%s belongs to a group: %+v", id, st)
			}
		}
	})
}

// Guards against a configuration that is replaced by one with a lower or an equal number, also after
// a restart, and against an error for a configuration that only arrives late.
func TestTheHighestNumberIsInForce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.unattended = &control.Unattended{Found: true, Voters: 3, CompactBytes: 1 << 10, Trailing: 2}
		g.startAll()
		c := g.client()
		for _, put := range []state.ReplaceConfig{
			{Number: 5, Content: []byte("five")}, {Number: 3, Content: []byte("three")}, {Number: 5, Content: []byte("other")},
			{Number: 9, Content: make([]byte, 2000)}, {Number: 12, Content: []byte("twelve")}, {Number: 9, Content: []byte("late")},
		} {
			if r := c.do(put); r.Err != nil || r.Revision < put.Number {
				t.Errorf("number %d: %+v", put.Number, r)
			}
		}
		for _, id := range g.initial {
			g.stop(id)
		}
		g.startAll()
		if r := c.do(state.ReadConfig{}); r.Revision != 12 || string(r.Changes[0].Content) != "twelve" {
			t.Errorf("revision %d with %q is in force", r.Revision, r.Changes[0].Content)
		}
	})
}
