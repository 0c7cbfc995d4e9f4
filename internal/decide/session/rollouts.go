package session

import "time"

// connectedWithin is the time since its last heartbeat in which an instance counts as connected, five heartbeat
// intervals. A new leader has heard of all connected instances after it.
const connectedWithin = 2 * time.Second

// addRollouts adds the roll-outs to an answer. Without any roll-out it adds nothing.
func (t *Tracker) addRollouts(now time.Time, h Heartbeat, s State, a *Answer) {
	if s.RolloutsGeneration == 0 {
		return
	}
	a.RolloutsGeneration = s.RolloutsGeneration
	if h.Rollouts != s.RolloutsGeneration {
		a.Rollouts = s.Rollouts()
	}
	if now.Sub(t.started) < connectedWithin {
		return
	}
	a.RolloutsConfirmed = s.RolloutsGeneration
	for _, i := range t.instances {
		if now.Sub(i.lastHeartbeat) < connectedWithin {
			a.RolloutsConfirmed = min(a.RolloutsConfirmed, i.rollouts)
		}
	}
}
