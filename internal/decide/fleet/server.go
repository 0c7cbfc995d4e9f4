package fleet

import (
	"slices"
	"time"

	"briaryard/internal/model"
)

const (
	// maxPrefillSeconds bounds the prompt work in flight on an engine, in seconds of its learned
	// speed. It covers the round trip of a grant; more would only lengthen the queue inside the
	// engine, which knows no priority.
	maxPrefillSeconds = 0.25
	// failurePause is how long a server gets no work after a call to it failed before its first
	// token. It doubles with each failure in a row, up to the time within which the membership
	// removes a dead server. Without the pause, a dead server always looks idle.
	failurePause    = 250 * time.Millisecond
	maxFailurePause = 3 * time.Second
	// adapterLoadSeconds is the assumed time to load an adapter.
	adapterLoadSeconds = 0.5
	// crossDomainSeconds is the assumed round trip between failure domains.
	crossDomainSeconds = 0.003
)

// Work is a granted request in flight on a server.
type Work struct {
	server    *server
	grantedAt time.Time
	prompt    int
	// uncached is the number of prompt tokens not expected in the server's cache, at least 1.
	uncached int
	output   int
	// pendingBefore is the prompt work in flight on the server at the time of the grant.
	pendingBefore int
	inFlight      int
	started       bool
	ended         bool
	next          *Work
	prev          *Work
}

// server is the state of one backend server: its record, speed, work in flight and cache.
type server struct {
	record     model.BackendServer
	listed     bool
	limiter    Law
	speed      speed
	generation *speed
	inFlight   int
	// resumed counts the fleet's resumed requests on this server.
	resumed int
	// pendingTokens is the prompt work of granted requests without a first token.
	pendingTokens int
	// inFlightWork is the head of the list of requests in flight.
	inFlightWork *Work
	// report is the last load report; grantedSinceReport counts prompt tokens granted after it.
	report             model.LoadReport
	grantedSinceReport int
	cache              prefixCache
	// pause is the length of the last pause after a failure, until pausedUntil.
	pause       time.Duration
	pausedUntil time.Time
	// acceptingIndex is the server's index in the fleet's accepting list, or -1. countedRoom and
	// countedWindow are the server's parts of the fleet's totals.
	acceptingIndex int
	countedRoom    int
	countedWindow  int
}

func (s *server) isPlain() bool { return s.record.Kind == model.PlainServer }

// window returns the number of requests that may be in flight on the server.
func (s *server) window() int {
	if s.isPlain() {
		return max(s.record.Slots, 1)
	}
	return max(int(s.limiter.Window()), 1)
}

func (s *server) usable() bool { return s.listed && s.record.Usable() }

// room returns the number of further requests that the window admits.
func (s *server) room() int {
	if !s.usable() {
		return 0
	}
	return max(s.window()-s.inFlight, 0)
}

// accepts reports whether the server can take another request and its prompt.
func (s *server) accepts() bool {
	if s.room() == 0 {
		return false
	}
	if s.isPlain() || s.pendingTokens == 0 {
		return true
	}
	// A server of unknown speed gets one prompt at a time: a new dispatcher cannot tell a slow
	// engine from the others before its first answer.
	return s.speed.known() && float64(s.pendingTokens)*s.prefillCost() < maxPrefillSeconds
}

// failed pauses grants to the server after a call failed before its first token.
func (s *server) failed(now time.Time) {
	if now.Before(s.pausedUntil) {
		// The call was granted before the pause began.
		return
	}
	s.pause = min(max(2*s.pause, failurePause), maxFailurePause)
	s.pausedUntil = now.Add(s.pause)
}

// queuedTokens estimates the prompt tokens that the engine has yet to compute: those of the
// last report, less what was computed since, plus own grants since; never less than own grants
// without a first token.
func (s *server) queuedTokens(now time.Time) float64 {
	reported := 0.0
	if !s.report.At.IsZero() {
		reported = float64(s.report.PrefillTokens) - now.Sub(s.report.At).Seconds()/s.prefillCost()
		reported = max(reported, 0) + float64(s.grantedSinceReport)
	}
	own := float64(s.pendingTokens)
	// Tokens granted since the report that already have a first token are no longer queued.
	return max(own, min(reported, own+float64(s.report.PrefillTokens)))
}

// hasAdapter reports whether the server has announced or last reported the adapter as loaded.
func (s *server) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(s.record.Adapters, adapter) || slices.Contains(s.report.Adapters, adapter)
}

// applyLoad applies a load report unless a newer one has arrived.
func (s *server) applyLoad(r model.LoadReport) {
	if r.Incarnation != s.record.Incarnation || !r.At.After(s.report.At) {
		return
	}
	s.report = r
	s.grantedSinceReport = 0
	for w := s.inFlightWork; w != nil; w = w.next {
		if w.grantedAt.After(r.At) && !w.started {
			s.grantedSinceReport += w.uncached
		}
	}
}

func (s *server) link(w *Work) {
	w.next = s.inFlightWork
	if s.inFlightWork != nil {
		s.inFlightWork.prev = w
	}
	s.inFlightWork = w
}

func (s *server) unlink(w *Work) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		s.inFlightWork = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	}
	w.next, w.prev = nil, nil
}
