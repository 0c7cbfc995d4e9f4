package quarantine

import (
	"cmp"
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// maxRecords bounds the parts of a ledger.
	maxRecords = 1024
	// clearedTTL is how long the record of a cleared part is kept, so that evidence from before which
	// arrives late is known to be void.
	clearedTTL = time.Minute
	// suspectTTL is how long crashes that lead to no quarantine are kept.
	suspectTTL = 10 * time.Minute
	// quarantinedTTL is how long a quarantined part that nobody asks for is kept after its quarantine.
	quarantinedTTL = time.Hour
)

// Ledger holds the evidence against parts of prompts.
type Ledger struct{ records map[model.PromptPart]*Record }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{records: make(map[model.PromptPart]*Record)} }

// Sighting is what an instance has observed of a request.
type Sighting struct {
	// Parts are the parts of its prompt that other requests may share.
	Parts []model.PromptPart
	// Crash is the server that has crashed before the first event of the answer, and SentAt when the request
	// was sent to it. Both are zero if the answer has begun.
	Crash  CrashID
	SentAt time.Time
}

// Began reports whether the answer has begun.
func (s *Sighting) Began() bool { return s.Crash == CrashID{} }

// Observe applies a sighting of this instance and returns the parts whose records have changed.
func (l *Ledger) Observe(now time.Time, s Sighting) []model.PromptPart {
	if s.Began() {
		return l.clear(now, s.Parts)
	}
	return l.recordCrash(now, s)
}

// clear clears the parts of a request whose answer has begun.
func (l *Ledger) clear(now time.Time, parts []model.PromptPart) (changed []model.PromptPart) {
	for _, p := range parts {
		if r := l.records[p]; r != nil && len(r.Crashes) > 0 {
			l.set(now, r.cleared())
			changed = append(changed, p)
		}
	}
	return changed
}

// recordCrash records the crash of a server against the parts of a request that had no event yet. If some of them
// are quarantined, they explain it, and the others are not suspected.
func (l *Ledger) recordCrash(now time.Time, s Sighting) (changed []model.PromptPart) {
	parts := s.Parts
	if blamed := l.View().blamedParts(parts); len(blamed) > 0 {
		parts = blamed
	}
	for _, p := range parts {
		r := l.records[p]
		if r == nil {
			r = &Record{Part: p}
		}
		if r.has(s.Crash) {
			continue
		}
		// During a quarantine, only requests that were on their way before it crash servers.
		again := r.Quarantined() && !now.Before(r.Until)
		r = r.with(Crash{CrashID: s.Crash, SentAt: s.SentAt, At: now})
		if again || !r.Quarantined() && r.provesHarm() {
			r.quarantine(now)
		}
		l.set(now, r)
		changed = append(changed, p)
	}
	return changed
}

// Merge applies records of another ledger. It returns the parts whose records have changed here, and those
// of which the other ledger has an earlier generation.
func (l *Ledger) Merge(now time.Time, records []Record) (changed, outdated []model.PromptPart) {
	for i := range records {
		o := &records[i]
		r := l.records[o.Part]
		switch {
		case r == nil || o.Generation > r.Generation:
			merged := *o
			r = &merged
		case o.Generation < r.Generation:
			outdated = append(outdated, o.Part)
			continue
		default:
			merged, differs := r.merge(o)
			if !differs {
				continue
			}
			r = merged
		}
		if !r.Quarantined() && r.provesHarm() {
			r.quarantine(now)
		}
		l.set(now, r)
		changed = append(changed, o.Part)
	}
	return changed, outdated
}

// set stores a changed record. A full ledger forgets the least important one.
func (l *Ledger) set(now time.Time, r *Record) {
	r.changed = now
	l.records[r.Part] = r
	if len(l.records) <= maxRecords {
		return
	}
	var least *Record
	for _, o := range l.records {
		if o != r && (least == nil || o.compareImportance(least) < 0) {
			least = o
		}
	}
	delete(l.records, least.Part)
}

// compareImportance orders records by level, then by the number of their crashes, then by age.
func (r *Record) compareImportance(o *Record) int {
	return cmp.Or(cmp.Compare(r.Level, o.Level), cmp.Compare(len(r.Crashes), len(o.Crashes)), r.changed.Compare(o.changed), cmp.Compare(r.Part, o.Part))
}

// Tick forgets records that have become irrelevant, and reports whether there were any.
func (l *Ledger) Tick(now time.Time) bool {
	before := len(l.records)
	for p, r := range l.records {
		age := now.Sub(r.changed)
		switch {
		case r.Quarantined():
			if now.Sub(r.Until) >= quarantinedTTL {
				delete(l.records, p)
			}
		case len(r.Crashes) == 0 && age >= clearedTTL, age >= suspectTTL:
			delete(l.records, p)
		}
	}
	return len(l.records) < before
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Get returns the record of a part, if there is one.
func (l *Ledger) Get(p model.PromptPart) (Record, bool) {
	if r := l.records[p]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// All returns all records, sorted by part.
func (l *Ledger) All() []Record {
	out := make([]Record, 0, len(l.records))
	for _, r := range l.records {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Part, b.Part) })
	return out
}
