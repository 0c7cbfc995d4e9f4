package consensus

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// join is a request of a folder that belongs to no group yet.
type join struct {
	member Member
	at     time.Time
}

// found founds the group once all initial voters have shown an empty folder within the last
// three join intervals. Only the first of them founds, so that there is one group; if its
// folder is wiped later, the others no longer show empty folders and it joins as a learner.
func (n *Node) found(now time.Time) bool {
	if n.set.JoinOnly || n.hard.Group != 0 || len(n.set.Initial) == 0 || n.set.Self.Instance != slices.Min(n.set.Initial) {
		return false
	}
	members := Membership{Members: []MemberRecord{{Member: n.set.Self}}}
	for _, id := range n.set.Initial {
		if id == n.set.Self.Instance {
			continue
		}
		j, ok := n.joins[id]
		if !ok || now.Sub(j.at) > 3*MaxElection {
			return false
		}
		members.set(MemberRecord{Member: j.member})
	}
	n.joins = make(map[model.InstanceID]join)
	genesis := Snapshot{Index: 1, Term: 1, Members: members}
	n.setHard(HardState{Group: n.set.Group, Term: 1})
	n.log = newLog(genesis, nil)
	b := n.nextBatch()
	b.Snapshot, b.Reset = &genesis, true
	n.stable = 0
	n.appended = []stableMark{{seq: b.Seq, index: 1}}
	n.out.Install = &genesis
	return true
}

// askToJoin asks the known instances to take this folder up.
func (n *Node) askToJoin(now time.Time) {
	if now.Sub(n.joinedAt) < MaxElection || now.Sub(n.heard) < MaxElection {
		return
	}
	n.joinedAt = now
	contacts := slices.Clone(n.set.Initial)
	for _, r := range n.log.members().Members {
		contacts = append(contacts, r.Instance)
	}
	slices.Sort(contacts)
	for _, id := range slices.Compact(contacts) {
		if id != n.set.Self.Instance {
			n.send(Message{Type: MsgJoin, To: Member{Instance: id}})
		}
	}
}
