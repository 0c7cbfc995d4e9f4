package hold

import (
	"time"

	"briaryard/internal/model"
)

// maxEntries bounds the servers of a table; a fleet has some hundreds.
const maxEntries = 4096

// Bar states why and for how long a server is to get no request.
type Bar struct {
	// Leaving is set if the server has said that it leaves; the bar then lasts as long as the incarnation.
	Leaving bool
	// Until is the end of the time for which the server wants no request, if it is not leaving.
	Until time.Time
}

// Table holds the words of backend servers.
type Table struct {
	entries map[model.BackendServerID]entry
}

// entry is the word of one incarnation of a server.
type entry struct {
	Bar
	incarnation model.Incarnation
	// since is when the server last gave its word.
	since time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[model.BackendServerID]entry)} }

// Apply applies a notice that was read at the given time. It reports whether the server is barred for a
// new reason or for longer than before.
func (t *Table) Apply(now time.Time, n model.ServerNotice) bool {
	old, known := t.entries[n.Server]
	if known && n.Incarnation < old.incarnation {
		return false
	}
	e := entry{incarnation: n.Incarnation, since: now, Bar: Bar{Leaving: n.Leaving, Until: now.Add(n.HoldFor)}}
	if known && n.Incarnation == old.incarnation {
		e.Leaving = e.Leaving || old.Leaving
		if old.Until.After(e.Until) {
			e.Until = old.Until
		}
	}
	if !e.barred(now) {
		return false
	}
	changed := !known || n.Incarnation > old.incarnation || e.Leaving != old.Leaving || !e.Leaving && e.Until.After(old.Until)
	t.entries[n.Server] = e
	if len(t.entries) > maxEntries {
		t.forget(now)
	}
	return changed
}

func (e *entry) barred(now time.Time) bool { return e.Leaving || now.Before(e.Until) }

// forget drops the holds that have ended, and the oldest word if there are none.
func (t *Table) forget(now time.Time) {
	var oldest model.BackendServerID
	for id, e := range t.entries {
		if !e.barred(now) {
			delete(t.entries, id)
			continue
		}
		if o, ok := t.entries[oldest]; !ok || e.since.Before(o.since) {
			oldest = id
		}
	}
	if len(t.entries) > maxEntries {
		delete(t.entries, oldest)
	}
}

// Lookup returns the bar of an incarnation of a server, if there is one now.
func (t *Table) Lookup(now time.Time, id model.BackendServerID, incarnation model.Incarnation) (Bar, bool) {
	e, ok := t.entries[id]
	if !ok || e.incarnation != incarnation || !e.barred(now) {
		return Bar{}, false
	}
	return e.Bar, true
}

// Notices returns the words that still hold, with the rest of their time.
func (t *Table) Notices(now time.Time) []model.ServerNotice {
	var out []model.ServerNotice
	for id, e := range t.entries {
		if e.barred(now) {
			out = append(out, model.ServerNotice{Server: id, Incarnation: e.incarnation, Leaving: e.Leaving, HoldFor: max(e.Until.Sub(now), 0)})
		}
	}
	return out
}

// Clone returns a copy.
func (t *Table) Clone() *Table {
	c := NewTable()
	for id, e := range t.entries {
		c.entries[id] = e
	}
	return c
}
