package consensus

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// joinRequest is the last join request of an instance, kept until the group exists.
type joinRequest struct {
	member Member
	at     time.Time
}

// bootstrap creates the group once all initial voters have shown an empty folder within the last
// three join intervals, and reports whether it did. Only the instance with the smallest id does
// so, so that there is one group. If its folder is wiped later, the others no longer show empty
// folders, and it joins as a learner.
func (n *Node) bootstrap(now time.Time) bool {
	if n.settings.JoinOnly || n.hard.Group != 0 || len(n.settings.InitialVoters) == 0 || n.settings.Self.Instance != slices.Min(n.settings.InitialVoters) {
		return false
	}
	members := Membership{Members: []MemberRecord{{Member: n.settings.Self}}}
	for _, id := range n.settings.InitialVoters {
		if id == n.settings.Self.Instance {
			continue
		}
		j, ok := n.joinRequests[id]
		if !ok || now.Sub(j.at) > 3*MaxElectionTimeout {
			return false
		}
		members.set(MemberRecord{Member: j.member})
	}
	n.joinRequests = make(map[model.InstanceID]joinRequest)
	genesis := Snapshot{Index: 1, Term: 1, Members: members}
	n.setHard(HardState{Group: n.settings.Group, Term: 1})
	n.log = newLog(genesis, nil)
	b := n.nextBatch()
	b.Snapshot, b.Reset = &genesis, true
	n.stable = 0
	n.batchEnds = []batchEnd{{seq: b.Seq, index: 1}}
	n.out.Install = &genesis
	return true
}

// SetContacts sets instances that may be members. A node that is in no group asks them to join, because the
// members may be none of the initial voters any more.
func (n *Node) SetContacts(instances []model.InstanceID) { n.contacts = slices.Clone(instances) }

// requestJoin asks the known instances to add this folder to the group.
func (n *Node) requestJoin(now time.Time) {
	if now.Sub(n.joinSent) < MaxElectionTimeout || now.Sub(n.electionReset) < MaxElectionTimeout {
		return
	}
	n.joinSent = now
	contacts := slices.Concat(n.settings.InitialVoters, n.contacts)
	for _, r := range n.log.members().Members {
		contacts = append(contacts, r.Instance)
	}
	slices.Sort(contacts)
	for _, id := range slices.Compact(contacts) {
		if id != n.settings.Self.Instance {
			n.send(Message{Type: MsgJoin, To: Member{Instance: id}})
		}
	}
}
