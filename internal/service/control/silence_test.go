package control_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// leaderProbe sends commands and heartbeats to a voter and records what it answers as leader.
type leaderProbe struct {
	peers *peers
	to    model.InstanceID
	mu    sync.Mutex
	next  uint64
	sent  map[uint64]time.Time
	// answered counts the answers as leader. late holds those to requests sent after leaseEnd, and
	// those to claims, which need the other voters.
	answered int
	leaseEnd time.Time
	late     []any
}

// firstProbeID is above the ids of the test client, which shares its instance with the probe.
const firstProbeID = 1 << 32

func (p *leaderProbe) send() {
	for _, body := range []any{
		port.CommandRequest{Command: state.Lookup{Key: claim(1).Key}}, port.CommandRequest{Command: claim(2)}, port.Heartbeat{Instance: clientID},
	} {
		p.mu.Lock()
		p.next++
		p.sent[p.next] = time.Now()
		switch m := body.(type) {
		case port.CommandRequest:
			m.ID = p.next
			body = m
		case port.Heartbeat:
			m.Seq = p.next
			body = m
		}
		p.mu.Unlock()
		_ = p.peers.Send(p.to, port.ControlName, body)
	}
}

func (p *leaderProbe) intercept(from, _ model.InstanceID, body any) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, leads := uint64(0), false
	switch m := body.(type) {
	case port.CommandReply:
		id, leads = m.ID, !m.NotLeader
	case port.HeartbeatReply:
		id, leads = m.Seq, !m.NotLeader
	}
	if from != p.to || !leads || p.sent[id].IsZero() {
		return body
	}
	p.answered++
	if r, ok := body.(port.CommandReply); p.sent[id].After(p.leaseEnd) || ok && r.Result.Claim == state.ClaimWon {
		p.late = append(p.late, body)
	}
	return body
}

// Guards against a leader that answers a read, a claim or a heartbeat after its lease has expired,
// and against one that does not follow the new leader afterwards. The leader is isolated from the
// other voters, and in one case also suspended in the middle of its work.
func TestSilentLeaderEndsWithItsLease(t *testing.T) {
	for name, stopped := range map[string]bool{"cut off": false, "stopped for 60 s": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				g := newGroup(t, 3)
				g.useDisks(20 * time.Millisecond)
				g.startAll()
				c := g.client()
				c.do(claim(1))
				old := g.waitForLeader()
				p := &leaderProbe{peers: c.peers, to: old.id, sent: make(map[uint64]time.Time), next: firstProbeID}
				p.leaseEnd = time.Now().Add(consensus.LeaseDuration)
				g.hub.setIntercept(p.intercept)
				p.send()
				// The isolation begins between the write of a claim and the end of its sync.
				synctest.Wait()
				g.hub.setIsolated(old.id, true)
				if stopped {
					g.gates[old.id].stop()
				}
				p.send()
				var next *voter
				g.eventually("another leader", func() bool { next = g.leader(); return next != nil && next != old })
				c.target.Store(&next.id)
				c.do(state.Finish{Key: claim(1).Key, Request: claim(1).Request})
				for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					p.send()
				}
				if stopped {
					g.gates[old.id].resume()
					time.Sleep(time.Second)
				}
				g.hub.setIsolated(old.id, false)
				g.eventually("the old leader follows the new one", func() bool {
					st := old.service.Status()
					return st.Role == consensus.Follower && st.Leader.Instance == next.id && st.Commit == next.service.Status().Commit
				})
				p.mu.Lock()
				defer p.mu.Unlock()
				if p.answered == 0 || len(p.late) > 0 {
					t.Errorf("%d answers, of these %d after the lease: %+v", p.answered, len(p.late), p.late[:min(5, len(p.late))])
				}
			})
		})
	}
}
