package quarantine

import (
	"time"

	"briaryard/internal/model"
)

// probeInterval is the time between the probes of two instances, and of two requests of one instance. The
// outcome of a probe is known everywhere well before.
const probeInterval = 5 * time.Second

// Gate decides for one instance which requests are held back. It lets single requests through as probes.
type Gate struct {
	view *View
	// position is the place of this instance in the order of probes.
	position int
	// probes holds when this instance last sent a request with a quarantined part.
	probes map[model.PromptPart]time.Time
}

// NewGate returns a gate that holds nothing back.
func NewGate() *Gate { return &Gate{probes: make(map[model.PromptPart]time.Time)} }

// SetView sets the view to judge by, and forgets the probes of parts that are not quarantined any more.
func (g *Gate) SetView(v *View) {
	g.view = v
	for p := range g.probes {
		if len(v.groups[p]) == 0 {
			delete(g.probes, p)
		}
	}
}

// SetPosition sets the place of this instance among those that take requests.
func (g *Gate) SetPosition(n int) { g.position = max(n, 0) }

// Check returns the refusal of a request if it is to be held back. A request that is let through although
// one of its parts is quarantined is a probe; Sent is to be called when it is sent.
func (g *Gate) Check(now time.Time, parts []model.PromptPart) (Refusal, bool) {
	if refusal, held := g.view.Check(now, parts, time.Duration(g.position)*probeInterval); held {
		return refusal, true
	}
	p, ok := g.view.Held(parts)
	if !ok {
		return Refusal{}, false
	}
	last, tried := g.probes[p]
	if wait := last.Add(probeInterval).Sub(now); tried && wait > 0 {
		r := g.view.suspects[p]
		return Refusal{Part: p, Crashes: len(r.Crashes), Level: r.Level, Wait: wait}, true
	}
	return Refusal{}, false
}

// Sent records that a request is sent, and reports whether it is a probe.
func (g *Gate) Sent(now time.Time, parts []model.PromptPart) (probe bool) {
	p, probe := g.view.Held(parts)
	if probe {
		g.probes[p] = now
	}
	return probe
}

// Suspected reports whether there is evidence against one of the parts.
func (g *Gate) Suspected(parts []model.PromptPart) bool { return g.view.Suspected(parts) }
