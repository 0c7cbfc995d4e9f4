package hold

import (
	"time"

	"briaryard/internal/model"
)

const (
	// maxEntries bounds the servers of a table; a fleet has some hundreds.
	maxEntries = 4096
	// minLimitTTL is how long a limit holds at least after the server last named it. A server names it in each
	// answer; one that gets no requests cannot say that it has ended.
	minLimitTTL = 10 * time.Second
	// limitTTLRequests is the number of requests that a limit must allow before it is forgotten.
	limitTTLRequests = 3
	// limitRenewal is the time after which a limit that is named again counts as news, so that it is passed
	// on well within minLimitTTL.
	limitRenewal = 2 * time.Second
)

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
	// limit is the named limit in requests per second, or zero. It was last named at namedAt, and last
	// reported as news at renewedAt.
	limit              float64
	namedAt, renewedAt time.Time
}

// LimitTTL returns how long a limit in requests per second holds after the server last named it.
func LimitTTL(perSecond float64) time.Duration {
	return max(minLimitTTL, time.Duration(limitTTLRequests/perSecond*float64(time.Second)))
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[model.BackendServerID]entry)} }

// Apply applies a notice that was read at the given time. It reports whether the notice is news: the server
// is barred for a new reason or for longer than before, or its limit has changed or is due to be passed on.
func (t *Table) Apply(now time.Time, n model.ServerNotice) bool {
	old, known := t.entries[n.Server]
	if known && n.Incarnation < old.incarnation {
		return false
	}
	if known && n.Incarnation > old.incarnation {
		old = entry{}
	}
	e := entry{
		incarnation: n.Incarnation, since: now, Bar: Bar{Leaving: n.Leaving || old.Leaving, Until: now.Add(n.HoldFor)},
		limit: old.limit, namedAt: old.namedAt, renewedAt: old.renewedAt,
	}
	if old.Until.After(e.Until) {
		e.Until = old.Until
	}
	news := e.Leaving && !old.Leaving || !e.Leaving && n.HoldFor > 0 && e.Until.After(old.Until)
	news = e.applyLimit(now, n) || news
	if !e.matters(now) {
		delete(t.entries, n.Server)
		return news
	}
	t.entries[n.Server] = e
	if len(t.entries) > maxEntries {
		t.forget(now)
	}
	return news
}

// applyLimit applies what a notice says of the limit, and reports whether it is news. An answer without a
// limit ends one only if its request was sent after the limit was last named: answers overtake each other.
func (e *entry) applyLimit(now time.Time, n model.ServerNotice) bool {
	switch {
	case n.Limit > 0:
		news := n.Limit != e.limit || !e.limited(now) || now.Sub(e.renewedAt) >= limitRenewal
		e.limit, e.namedAt = n.Limit, now
		if news {
			e.renewedAt = now
		}
		return news
	case n.LimitEnded && e.limited(now) && !n.SentAt.Before(e.namedAt):
		e.limit = 0
		return true
	}
	return false
}

func (e *entry) barred(now time.Time) bool { return e.Leaving || now.Before(e.Until) }

// limited reports whether the server has a limit now.
func (e *entry) limited(now time.Time) bool {
	return e.limit > 0 && now.Sub(e.namedAt) < LimitTTL(e.limit)
}

// matters reports whether the word still says anything.
func (e *entry) matters(now time.Time) bool { return e.barred(now) || e.limited(now) }

// forget drops the words that say nothing any more, and the oldest one if there are none.
func (t *Table) forget(now time.Time) {
	var oldest model.BackendServerID
	for id, e := range t.entries {
		if !e.matters(now) {
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

// Limit returns the limit of an incarnation of a server in requests per second, if there is one now.
func (t *Table) Limit(now time.Time, id model.BackendServerID, incarnation model.Incarnation) (float64, bool) {
	e, ok := t.entries[id]
	if !ok || e.incarnation != incarnation || !e.limited(now) {
		return 0, false
	}
	return e.limit, true
}

// Notices returns the words that still hold, with the rest of their time.
func (t *Table) Notices(now time.Time) []model.ServerNotice {
	var out []model.ServerNotice
	for id, e := range t.entries {
		if !e.matters(now) {
			continue
		}
		n := model.ServerNotice{Server: id, Incarnation: e.incarnation, Leaving: e.Leaving, HoldFor: max(e.Until.Sub(now), 0)}
		if e.limited(now) {
			n.Limit = e.limit
		}
		out = append(out, n)
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
