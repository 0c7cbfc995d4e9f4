package fleet

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// prefillDepth is the prompt work that may be in flight on an engine, in seconds of its
	// learned speed. It covers the round trip of a grant; more would only lengthen the
	// queue inside the engine, which knows no priority.
	prefillDepth = 0.25
	// failurePause is how long a server gets no work after a call to it failed before its
	// first token. It doubles with each failure in a row, up to the time within which the
	// membership removes a dead server. Without it, a dead server always looks idle.
	failurePause    = 250 * time.Millisecond
	maxFailurePause = 3 * time.Second
	// adapterLoad is the assumed time to load an adapter.
	adapterLoad = 0.5
	// domainCrossing is the assumed round trip between failure domains, in seconds.
	domainCrossing = 0.003
)

// Work is one granted request on a server.
type Work struct {
	server   *server
	begun    time.Time
	prompt   int
	uncached int
	output   int
	// ahead is the prompt work in flight on the server when this request was granted.
	ahead    int
	inFlight int
	started  bool
	ended    bool
	next     *Work
	prev     *Work
}

type server struct {
	record     model.BackendServer
	listed     bool
	law        Law
	speed      speed
	generation *speed
	inFlight   int
	// resumed is the part of the fleet's resumed requests on this server.
	resumed int
	pending int
	// works lists the requests in flight.
	works *Work
	// report is the last load report; since counts prompt tokens granted after it.
	report model.LoadReport
	since  int
	cache  cache
	// pause is the length of the present pause after a failure; it ends at paused.
	pause  time.Duration
	paused time.Time
	// open is the server's index among the open ones or -1; free and counted are its parts
	// of the fleet's sums.
	open    int
	free    int
	counted int
}

func (s *server) plain() bool { return s.record.Kind == model.PlainServer }

func (s *server) window() int {
	if s.plain() {
		return max(s.record.Slots, 1)
	}
	return max(int(s.law.Window()), 1)
}

func (s *server) usable() bool { return s.listed && s.record.Usable() }

// room returns the number of further requests that the window admits.
func (s *server) room() int {
	if !s.usable() {
		return 0
	}
	return max(s.window()-s.inFlight, 0)
}

// accepts reports whether the window has room in requests and in prompt tokens.
func (s *server) accepts() bool {
	if s.room() == 0 {
		return false
	}
	if s.plain() || s.pending == 0 {
		return true
	}
	// A server of unknown speed gets one prompt at a time: a new dispatcher cannot tell a
	// slow engine from the others before its first answer.
	return s.speed.known() && float64(s.pending)*s.prefillCost() < prefillDepth
}

// failed pauses grants after a call that failed before its first token.
func (s *server) failed(now time.Time) {
	if now.Before(s.paused) {
		// Granted before the pause began.
		return
	}
	s.pause = min(max(2*s.pause, failurePause), maxFailurePause)
	s.paused = now.Add(s.pause)
}

// queued estimates the prompt tokens that the engine has yet to compute: the stale report
// less what was computed since, plus own grants since; never less than own grants without
// a first token.
func (s *server) queued(now time.Time) float64 {
	reported := 0.0
	if !s.report.At.IsZero() {
		reported = float64(s.report.PrefillTokens) - now.Sub(s.report.At).Seconds()/s.prefillCost()
		reported = max(reported, 0) + float64(s.since)
	}
	own := float64(s.pending)
	// Tokens granted since the report that already have a first token are no longer queued.
	return max(own, min(reported, own+float64(s.report.PrefillTokens)))
}

func (s *server) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(s.record.Adapters, adapter) || slices.Contains(s.report.Adapters, adapter)
}

// load takes a report unless a newer one has arrived.
func (s *server) load(r model.LoadReport) {
	if r.Incarnation != s.record.Incarnation || !r.At.After(s.report.At) {
		return
	}
	s.report = r
	s.since = 0
	for w := s.works; w != nil; w = w.next {
		if w.begun.After(r.At) && !w.started {
			s.since += w.uncached
		}
	}
}

func (s *server) link(w *Work) {
	w.next = s.works
	if s.works != nil {
		s.works.prev = w
	}
	s.works = w
}

func (s *server) unlink(w *Work) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		s.works = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	}
	w.next, w.prev = nil, nil
}
