package allocate

import (
	"slices"
	"time"

	"briaryard/internal/decide/appointment"
	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

// denialTTL is how long a denial of the dispatcher is reused for similar requests of this instance. In a
// burst of several times the capacity of the servers, the dispatcher would otherwise spend most of its
// time on denials. It is two heartbeat intervals, a small part of the seconds by which the wait of a
// denied request is too long.
const denialTTL = 2 * HeartbeatInterval

// denialCache holds the dispatcher's last denials.
type denialCache struct {
	// byService holds the denials because of a long queue, and byTeam those because of a used-up
	// allotment.
	byService map[model.PoolID]denial
	byTeam    map[model.TeamID]denial
	// refused is the demand that was refused from the cache and has not been reported, since refusedSince.
	refused      []schedule.RefusedDemand
	refusedSince time.Time
}

// denial is a denial of the dispatcher with the request that it was about.
type denial struct {
	schedule.Decision
	want schedule.Request
	at   time.Time
}

func newDenialCache() denialCache {
	return denialCache{byService: make(map[model.PoolID]denial), byTeam: make(map[model.TeamID]denial)}
}

// record records a decision of the dispatcher. A grant shows that there is room again and removes the
// denials of the service and the team.
func (s *denialCache) record(now time.Time, w *schedule.Request, d schedule.Decision) {
	switch {
	case !d.Denied:
		delete(s.byService, w.Service)
		delete(s.byTeam, w.Team)
	case d.Reason == schedule.DeniedQueue:
		s.byService[w.Service] = denial{Decision: d, want: *w, at: now}
	case d.Reason == schedule.DeniedAllotment:
		s.byTeam[w.Team] = denial{Decision: d, want: *w, at: now}
	}
}

// lookup returns a denial that also applies to a request. A queue that is too long for one request is too
// long for those of its rank that are no smaller, if they can wait no longer. It may not be too long for a
// less urgent one, whose rank may be underserved.
func (s *denialCache) lookup(now time.Time, w *schedule.Request) (schedule.Decision, bool) {
	if d, ok := s.byService[w.Service]; ok && now.Sub(d.at) < denialTTL && maxWait(w) <= maxWait(&d.want) &&
		d.want.Rank == w.Rank && d.noLargerThan(w) && !d.mayBeDue(w) {
		out := d.decisionFor(w)
		if d.Appointment.Fingerprint != 0 {
			// The place at that time is booked for the other request.
			out.RetryAfter = schedule.LatestReturn(now, w)
		}
		return out, true
	}
	if d, ok := s.byTeam[w.Team]; ok && now.Sub(d.at) < min(denialTTL, d.RetryAfter) && !w.Admitted && d.noLargerThan(w) {
		return d.decisionFor(w), true
	}
	return schedule.Decision{}, false
}

const (
	// maxUnreported is the age up to which refused demand is reported. The cache refuses for denialTTL at most
	// before it asks again, so that older demand belongs to a burst that has passed.
	maxUnreported = time.Second
	// maxRefusedEntries limits the services and ranks of one report.
	maxRefusedEntries = 32
)

// countRefused counts a request that is refused from the cache, with the time for which it was expected to hold a
// slot; zero for a caller that returns. The dispatcher learns of this demand with the next request.
func (s *denialCache) countRefused(now time.Time, w *schedule.Request, hold time.Duration) {
	if hold <= 0 {
		return
	}
	if now.Sub(s.refusedSince) > maxUnreported {
		s.refused, s.refusedSince = nil, now
	}
	for i := range s.refused {
		if d := &s.refused[i]; d.Service == w.Service && d.Rank == w.Rank {
			d.Requests, d.Hold = d.Requests+1, d.Hold+hold
			return
		}
	}
	if len(s.refused) < maxRefusedEntries {
		s.refused = append(s.refused, schedule.RefusedDemand{Service: w.Service, Rank: w.Rank, Requests: 1, Hold: hold})
	}
}

// takeRefused returns the demand that was refused since the last call.
func (s *denialCache) takeRefused(now time.Time) []schedule.RefusedDemand {
	out := s.refused
	if now.Sub(s.refusedSince) > maxUnreported {
		out = nil
	}
	s.refused, s.refusedSince = nil, now
	return out
}

// maxWait returns the time for which a request may wait.
func maxWait(w *schedule.Request) time.Duration { return w.StartDeadline.Sub(w.Arrived) }

// noLargerThan reports whether the denied request is no larger than another one.
func (d *denial) noLargerThan(w *schedule.Request) bool {
	return d.want.Prompt <= w.Prompt && d.want.Output <= w.Output && d.want.Expected <= w.Expected
}

// decisionFor returns the denial as the decision about a request.
func (d *denial) decisionFor(w *schedule.Request) schedule.Decision {
	out := d.Decision
	out.ID, out.Appointment, out.Due, out.DueOmitted = w.ID, appointment.Appointment{}, nil, false
	return out
}

// mayBeDue reports whether the caller of a request may have an appointment that is due, made through this
// instance or another one. Such a request goes to the dispatcher, which knows the appointments. One request
// in 2^24 without an appointment goes there as well, because the list has half of each fingerprint.
func (d *denial) mayBeDue(w *schedule.Request) bool {
	return w.Fingerprint != 0 && (d.DueOmitted || slices.Contains(d.Due, uint32(w.Fingerprint)))
}
