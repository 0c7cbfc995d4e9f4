package allocate

import (
	"time"

	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

// standFor is how long a denial of the dispatcher stands for like requests of this instance. In a burst
// of several times what the servers can do, most of the dispatcher's time would go into refusing. It is
// two beats, a small part of the seconds by which a refused request's wait is too long.
const standFor = 2 * BeatInterval

// standing are the dispatcher's last denials.
type standing struct {
	// queues holds those for a queue that is too long, by service, and teams those for an allotment that
	// is used up.
	queues map[model.PoolID]denial
	teams  map[model.TeamID]denial
}

type denial struct {
	schedule.Decision
	want schedule.Want
	at   time.Time
}

func newStanding() standing {
	return standing{queues: make(map[model.PoolID]denial), teams: make(map[model.TeamID]denial)}
}

// note takes a decision of the dispatcher about a request. A grant shows that there is room again.
func (s *standing) note(now time.Time, w *schedule.Want, d schedule.Decision) {
	switch {
	case !d.Denied:
		delete(s.queues, w.Service)
		delete(s.teams, w.Team)
	case d.Reason == schedule.DeniedQueue:
		s.queues[w.Service] = denial{Decision: d, want: *w, at: now}
	case d.Reason == schedule.DeniedAllotment:
		s.teams[w.Team] = denial{Decision: d, want: *w, at: now}
	}
}

// find returns a denial that stands for a request. A queue that is too long for a request is too long for
// less urgent ones, and for those of its rank that are no smaller, if they have no more time to wait.
func (s *standing) find(now time.Time, w *schedule.Want) (schedule.Decision, bool) {
	if d, ok := s.queues[w.Service]; ok && now.Sub(d.at) < standFor && patience(w) <= patience(&d.want) &&
		(d.want.Rank < w.Rank || d.want.Rank == w.Rank && d.noLarger(w)) {
		return d.decision(w), true
	}
	if d, ok := s.teams[w.Team]; ok && now.Sub(d.at) < min(standFor, d.RetryAfter) && !w.Admitted && d.noLarger(w) {
		return d.decision(w), true
	}
	return schedule.Decision{}, false
}

func patience(w *schedule.Want) time.Duration { return w.Until.Sub(w.Arrived) }

func (d *denial) noLarger(w *schedule.Want) bool {
	return d.want.Prompt <= w.Prompt && d.want.Output <= w.Output && d.want.Expected <= w.Expected
}

func (d *denial) decision(w *schedule.Want) schedule.Decision {
	out := d.Decision
	out.ID = w.ID
	return out
}
