package quarantine

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// View is an immutable copy of the evidence of a ledger.
type View struct {
	// suspects holds the parts with crashes.
	suspects map[model.PromptPart]*Record
	// groups holds, for each quarantined part, the parts that may be the cause of all of its crashes, itself
	// among them. Requests are held back only if they have all of them, so that those which merely share the
	// other parts of harmful requests are not.
	groups map[model.PromptPart][]model.PromptPart
}

// View returns a view of the ledger.
func (l *Ledger) View() *View {
	v := &View{suspects: make(map[model.PromptPart]*Record), groups: make(map[model.PromptPart][]model.PromptPart)}
	for p, r := range l.records {
		if len(r.Crashes) > 0 {
			v.suspects[p] = r
		}
	}
	for p, r := range v.suspects {
		if !r.Quarantined() {
			continue
		}
		for q, o := range v.suspects {
			if o.mayCause(r) {
				v.groups[p] = append(v.groups[p], q)
			}
		}
		slices.Sort(v.groups[p])
	}
	return v
}

// QuarantinedParts returns the number of parts under quarantine, or probed after one.
func (v *View) QuarantinedParts() int { return len(v.groups) }

// Suspected reports whether there is evidence against one of the parts. An answer to a request with them is
// then worth a sighting.
func (v *View) Suspected(parts []model.PromptPart) bool {
	return v != nil && len(v.suspects) > 0 && slices.ContainsFunc(parts, func(p model.PromptPart) bool { return v.suspects[p] != nil })
}

// blamedParts returns the parts of the groups that are completely among the given parts.
func (v *View) blamedParts(parts []model.PromptPart) (out []model.PromptPart) {
	for _, p := range parts {
		if v.holds(p, parts) {
			for _, q := range v.groups[p] {
				if !slices.Contains(out, q) {
					out = append(out, q)
				}
			}
		}
	}
	return out
}

// holds reports whether a part is quarantined and its whole group is among the parts of a request.
func (v *View) holds(p model.PromptPart, parts []model.PromptPart) bool {
	group := v.groups[p]
	return len(group) > 0 && !slices.ContainsFunc(group, func(q model.PromptPart) bool { return !slices.Contains(parts, q) })
}

// Refusal states why a request is held back.
type Refusal struct {
	Part model.PromptPart
	// Crashes is the number of servers that have crashed, as far as they are known.
	Crashes int
	// Level is the number of quarantines of the part.
	Level int
	// Wait is the time to the next probe.
	Wait time.Duration
}

// Check returns the refusal of a request with the given parts if it is to be held back now. probeDelay is
// added to the end of each quarantine.
func (v *View) Check(now time.Time, parts []model.PromptPart, probeDelay time.Duration) (Refusal, bool) {
	if v == nil || len(v.groups) == 0 {
		return Refusal{}, false
	}
	var worst Refusal
	held := false
	for _, p := range parts {
		if !v.holds(p, parts) {
			continue
		}
		r := v.suspects[p]
		if wait := r.Until.Add(probeDelay).Sub(now); wait > 0 && (!held || wait > worst.Wait) {
			worst, held = Refusal{Part: p, Crashes: len(r.Crashes), Level: r.Level, Wait: wait}, true
		}
	}
	return worst, held
}

// Held returns a quarantined part of a request that is held back, or would be a probe.
func (v *View) Held(parts []model.PromptPart) (model.PromptPart, bool) {
	if v == nil || len(v.groups) == 0 {
		return "", false
	}
	for _, p := range parts {
		if v.holds(p, parts) {
			return p, true
		}
	}
	return "", false
}
