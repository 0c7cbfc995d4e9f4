package quarantine

import (
	"time"

	"briaryard/internal/model"
)

// trialSpacing is the time between the trials of two instances, and of two requests of one instance. The
// outcome of a trial is known everywhere well before.
const trialSpacing = 5 * time.Second

// Gate decides for one instance which requests are held back. It lets single requests through as trials.
type Gate struct {
	view *View
	// position is the place of this instance in the order of trials.
	position int
	// trials holds when this instance last tried a part.
	trials map[model.PromptPart]time.Time
}

// NewGate returns a gate that holds nothing back.
func NewGate() *Gate { return &Gate{trials: make(map[model.PromptPart]time.Time)} }

// SetView sets the view to judge by, and forgets the trials of parts that are not condemned any more.
func (g *Gate) SetView(v *View) {
	g.view = v
	for p := range g.trials {
		if len(v.groups[p]) == 0 {
			delete(g.trials, p)
		}
	}
}

// SetPosition sets the place of this instance among those that take requests.
func (g *Gate) SetPosition(n int) { g.position = max(n, 0) }

// Check returns the verdict on a request if it is to be held back. A request that is let through although
// one of its parts is condemned is a trial; Sent is to be called when it is sent.
func (g *Gate) Check(now time.Time, parts []model.PromptPart) (Verdict, bool) {
	if verdict, held := g.view.Check(now, parts, time.Duration(g.position)*trialSpacing); held {
		return verdict, true
	}
	p, ok := g.view.Held(parts)
	if !ok {
		return Verdict{}, false
	}
	last, tried := g.trials[p]
	if wait := last.Add(trialSpacing).Sub(now); tried && wait > 0 {
		r := g.view.suspects[p]
		return Verdict{Part: p, Strikes: len(r.Strikes), Level: r.Level, Wait: wait}, true
	}
	return Verdict{}, false
}

// Sent records that a request is sent, and reports whether it is a trial.
func (g *Gate) Sent(now time.Time, parts []model.PromptPart) (trial bool) {
	p, trial := g.view.Held(parts)
	if trial {
		g.trials[p] = now
	}
	return trial
}
