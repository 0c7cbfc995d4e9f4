package hedge

import (
	"time"

	"briaryard/internal/model"
)

const (
	// maxPeers bounds the recent calls of a service that are remembered: those of a second at a thousand
	// requests a second.
	maxPeers = 1024
	// minPeers is the number of calls below which nothing is known about the other servers.
	minPeers = 12
	// minFastShare is the share of calls that must be faster than their median. It is half of them in a sound
	// fleet, and next to none while all servers are 2.5 times slower.
	minFastShare = 0.3
)

// peer is a recent call.
type peer struct {
	id     model.RequestID
	server model.BackendServerID
	sentAt time.Time
	// typical is the median of its route and size when it was sent.
	typical time.Duration
	// fast is set once its answer has begun within typical.
	fast bool
}

// Peers holds the recent calls of a service, as a ring.
type Peers struct {
	ring []peer
	next int
	at   map[model.RequestID]int
}

// NewPeers returns a set without calls.
func NewPeers() *Peers { return &Peers{at: make(map[model.RequestID]int)} }

// Sent records that a call is sent now. A call that is known already, as after a change of dispatcher, is ignored.
func (p *Peers) Sent(now time.Time, id model.RequestID, server model.BackendServerID, typical time.Duration) {
	if _, known := p.at[id]; known || typical <= 0 {
		return
	}
	call := peer{id: id, server: server, sentAt: now, typical: typical}
	if len(p.ring) < maxPeers {
		p.ring = append(p.ring, call)
		p.at[id] = len(p.ring) - 1
		return
	}
	delete(p.at, p.ring[p.next].id)
	p.ring[p.next] = call
	p.at[id] = p.next
	p.next = (p.next + 1) % maxPeers
}

// Answered records the time to the first answer of a call.
func (p *Peers) Answered(id model.RequestID, took time.Duration) {
	if i, ok := p.at[id]; ok {
		p.ring[i].fast = took <= p.ring[i].typical
	}
}

// Verdict is what the calls to other servers say about a slow one.
type Verdict uint8

// Verdicts about a slow call.
const (
	// Unknown means that too few calls were sent since.
	Unknown Verdict = iota
	// OthersSlow means that the calls to other servers are slow as well.
	OthersSlow
	// OthersFast means that other servers answer as usual, so that a second call can help.
	OthersFast
)

// Compare compares a slow call with the calls to other servers that were sent no earlier and have had their
// typical time.
func (p *Peers) Compare(now, sentAt time.Time, server model.BackendServerID) Verdict {
	fast, total := 0, 0
	for age := 1; age <= len(p.ring); age++ {
		// The ring is in the order of sending, with the oldest call at next.
		c := &p.ring[(p.next+len(p.ring)-age)%len(p.ring)]
		if c.sentAt.Before(sentAt) {
			break
		}
		if c.server == server || now.Sub(c.sentAt) < c.typical {
			continue
		}
		total++
		if c.fast {
			fast++
		}
	}
	switch {
	case total < minPeers:
		return Unknown
	case float64(fast) < minFastShare*float64(total):
		return OthersSlow
	}
	return OthersFast
}
