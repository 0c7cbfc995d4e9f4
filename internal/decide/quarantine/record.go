package quarantine

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// minSequence is the number of crashes in sequence that puts a part under quarantine. Two servers may
	// crash by chance while requests with the same rare part wait on them.
	minSequence = 3
	// minSequenceOfMany is the number that suffices among manyCrashes crashes. Many requests with a harmful
	// part may be on their way at once, so that few crashes are in sequence.
	minSequenceOfMany, manyCrashes = 2, 5
	// MaxCrashes bounds the crashes of a record; the newest are kept.
	MaxCrashes = 16
	// firstTerm is the length of the first quarantine of a part. Each further one is twice as long, up to
	// level MaxLevel.
	firstTerm = 60 * time.Second
	// MaxLevel bounds the level of a record.
	MaxLevel = 5
)

// CrashID identifies the crash of a server.
type CrashID struct {
	Server      model.BackendServerID
	Incarnation model.Incarnation
}

// Crash is a crash of a server while a request with the part had no event yet.
type Crash struct {
	CrashID
	// SentAt is when the request was sent, At when its answer was lost.
	SentAt, At time.Time
}

// Record is the evidence against a part of a prompt. Records are values: a changed one is a copy.
type Record struct {
	Part model.PromptPart
	// Generation counts how often the part has been cleared. The evidence of earlier generations is void.
	Generation uint64
	// Crashes are sorted by time.
	Crashes []Crash
	// Level counts the quarantines of this generation; 0 means that there was none.
	Level int
	// Until is the end of the quarantine, if Level is positive. Probes follow.
	Until time.Time
	// changed is when the record last changed here.
	changed time.Time
}

// Quarantined reports whether the part is under quarantine, or probed after one.
func (r *Record) Quarantined() bool { return r.Level > 0 }

// provesHarm reports whether the crashes put the part under quarantine.
func (r *Record) provesHarm() bool {
	n := r.sequence()
	return n >= minSequence || n >= minSequenceOfMany && len(r.Crashes) >= manyCrashes
}

// sequence returns the number of crashes in sequence.
func (r *Record) sequence() int { return sequence(r.Crashes) }

// sequence returns the number of crashes in sequence: each request was sent after the crash before. Servers
// that lose their power together count once: they say nothing about the requests that they have in common.
func sequence(crashes []Crash) int {
	count := 0
	var last time.Time
	for _, c := range crashes {
		if count == 0 || !c.SentAt.Before(last) {
			count++
			last = c.At
		}
	}
	return count
}

// has reports whether a crash is part of the evidence.
func (r *Record) has(id CrashID) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.CrashID == id })
}

// maxMissedSightings is the number of crashes in sequence that an instance may have failed to see. A busy one
// may look for the server only after it is back.
const maxMissedSightings = 1

// mayCause reports whether the part of this record may be the cause of all crashes of another record: hardly
// any of them is missing here.
func (r *Record) mayCause(o *Record) bool {
	missing := slices.DeleteFunc(slices.Clone(o.Crashes), func(c Crash) bool { return r.has(c.CrashID) })
	return len(missing) < len(o.Crashes) && sequence(missing) <= maxMissedSightings
}

// with returns a copy of the record with a further crash.
func (r *Record) with(c Crash) *Record {
	out := *r
	at, _ := slices.BinarySearchFunc(r.Crashes, c, func(a, b Crash) int { return a.At.Compare(b.At) })
	out.Crashes = slices.Insert(slices.Clone(r.Crashes), at, c)
	if n := len(out.Crashes) - MaxCrashes; n > 0 {
		out.Crashes = out.Crashes[n:]
	}
	return &out
}

// cleared returns the record after an answer to a request with the part has begun.
func (r *Record) cleared() *Record {
	return &Record{Part: r.Part, Generation: r.Generation + 1}
}

// term returns the length of the quarantine of a level.
func term(level int) time.Duration { return firstTerm << (level - 1) }

// quarantine raises the level and starts a quarantine.
func (r *Record) quarantine(now time.Time) {
	r.Level = min(r.Level+1, MaxLevel)
	r.Until = now.Add(term(r.Level))
}

// merge returns the record that results from this one and another one of the same part and generation, and
// whether it differs from this one. Records of the same crash may have different times, of which the
// one known here counts.
func (r *Record) merge(o *Record) (*Record, bool) {
	out, changed := r, false
	for _, c := range o.Crashes {
		if !out.has(c.CrashID) && (len(out.Crashes) < MaxCrashes || c.At.After(out.Crashes[0].At)) {
			out, changed = out.with(c), true
		}
	}
	if o.Level <= out.Level {
		// The ends of quarantines of the same level differ by the time that records are on their way.
		return out, changed
	}
	merged := *out
	merged.Level, merged.Until = o.Level, o.Until
	return &merged, true
}

// RelativeRecord is a record with durations in place of times, for another instance's clock.
type RelativeRecord struct {
	Part       model.PromptPart
	Generation uint64
	Crashes    []RelativeCrash
	Level      int
	// Remaining is the time to the end of the quarantine; it is negative after the end.
	Remaining time.Duration
}

// RelativeCrash is a crash with its age, and the time from the sending of its request to the crash.
type RelativeCrash struct {
	CrashID
	Age, Took time.Duration
}

// Relative returns the record relative to now.
func (r *Record) Relative(now time.Time) RelativeRecord {
	out := RelativeRecord{Part: r.Part, Generation: r.Generation, Level: r.Level}
	if r.Quarantined() {
		out.Remaining = r.Until.Sub(now)
	}
	for _, c := range r.Crashes {
		out.Crashes = append(out.Crashes, RelativeCrash{CrashID: c.CrashID, Age: max(now.Sub(c.At), 0), Took: max(c.At.Sub(c.SentAt), 0)})
	}
	return out
}

// Absolute returns the record with times of the clock that now was read from.
func (r *RelativeRecord) Absolute(now time.Time) Record {
	out := Record{Part: r.Part, Generation: r.Generation, Level: r.Level}
	if r.Level > 0 {
		out.Until = now.Add(r.Remaining)
	}
	for _, c := range r.Crashes {
		out.Crashes = append(out.Crashes, Crash{CrashID: c.CrashID, SentAt: now.Add(-c.Age - c.Took), At: now.Add(-c.Age)})
	}
	slices.SortStableFunc(out.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	return out
}
