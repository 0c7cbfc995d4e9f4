package quarantine

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

// View is an immutable copy of the evidence of a ledger.
type View struct {
	// suspects holds the parts with strikes.
	suspects map[model.PromptPart]*Record
	// groups holds, for each condemned part, the parts that may as well be the cause of all of its strikes,
	// itself among them. Requests are held back only if they have all of them, so that those which share only
	// the neighbours of a deadly part are not.
	groups map[model.PromptPart][]model.PromptPart
}

// View returns a view of the ledger.
func (l *Ledger) View() *View {
	v := &View{suspects: make(map[model.PromptPart]*Record), groups: make(map[model.PromptPart][]model.PromptPart)}
	for p, r := range l.records {
		if len(r.Strikes) > 0 {
			v.suspects[p] = r
		}
	}
	for p, r := range v.suspects {
		if !r.Condemned() {
			continue
		}
		for q, o := range v.suspects {
			if o.covers(r) {
				v.groups[p] = append(v.groups[p], q)
			}
		}
		slices.Sort(v.groups[p])
	}
	return v
}

// CondemnedParts returns the number of parts under quarantine or on trial.
func (v *View) CondemnedParts() int { return len(v.groups) }

// Suspected reports whether there is evidence against one of the parts. An answer to a request with them is
// then worth a sighting.
func (v *View) Suspected(parts []model.PromptPart) bool {
	return v != nil && len(v.suspects) > 0 && slices.ContainsFunc(parts, func(p model.PromptPart) bool { return v.suspects[p] != nil })
}

// culprits returns the parts of the condemned groups that are all among the given parts.
func (v *View) culprits(parts []model.PromptPart) (out []model.PromptPart) {
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

// holds reports whether a part is condemned and its whole group is among the parts of a request.
func (v *View) holds(p model.PromptPart, parts []model.PromptPart) bool {
	group := v.groups[p]
	return len(group) > 0 && !slices.ContainsFunc(group, func(q model.PromptPart) bool { return !slices.Contains(parts, q) })
}

// Verdict states why a request is held back.
type Verdict struct {
	Part model.PromptPart
	// Strikes is the number of servers that have ended, as far as they are known.
	Strikes int
	// Level is the number of quarantines of the part.
	Level int
	// Wait is the time to the next trial.
	Wait time.Duration
}

// Check returns the verdict on a request with the given parts if it is to be held back now. trialDelay is
// added to the end of each quarantine.
func (v *View) Check(now time.Time, parts []model.PromptPart, trialDelay time.Duration) (Verdict, bool) {
	if v == nil || len(v.groups) == 0 {
		return Verdict{}, false
	}
	var worst Verdict
	held := false
	for _, p := range parts {
		r := v.suspects[p]
		if !v.holds(p, parts) {
			continue
		}
		if wait := r.Until.Add(trialDelay).Sub(now); wait > 0 && (!held || wait > worst.Wait) {
			worst, held = Verdict{Part: p, Strikes: len(r.Strikes), Level: r.Level, Wait: wait}, true
		}
	}
	return worst, held
}

// Held returns a condemned part of a request that is held back or on trial.
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
