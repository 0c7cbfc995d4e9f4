package event

import (
	"log"
	"strings"
	"sync"
	"time"
)

const (
	// At most limitedBurst events are written in each limitedWindow. Events that any network client
	// can cause must not fill the log or displace other events stored for operators.
	limitedBurst  = 10
	limitedWindow = time.Minute
	// maxLineBytes limits a text that comes from a library. The stack trace of a panic fits.
	maxLineBytes = 4096
)

// Limited writes an event at a limited rate. The event's last field is the number of events that
// were left out since the last one written.
type Limited struct {
	log *Log
	def Def

	mu          sync.Mutex
	windowStart time.Time
	written     int
	leftOut     int
}

// Limit returns a rate-limited writer of an event.
func (l *Log) Limit(d Def) *Limited { return &Limited{log: l, def: d} }

// Emit writes the event, or leaves it out if the rate limit is reached. The values are those of all
// fields but the last.
func (l *Limited) Emit(now time.Time, values ...any) {
	if leftOut, ok := l.allow(now); ok {
		l.log.Emit(l.def, append(values, leftOut)...)
	}
}

// allow reports whether an event may be written now. If so, it returns and resets the number of
// events left out before.
func (l *Limited) allow(now time.Time) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= limitedWindow {
		l.windowStart, l.written = now, 0
	}
	if l.written >= limitedBurst {
		l.leftOut++
		return 0, false
	}
	l.written++
	leftOut, l.leftOut = l.leftOut, 0
	return leftOut, true
}

// LibraryLogger is the logger type that libraries require. Only this package creates one.
type LibraryLogger = log.Logger

// Logger returns a logger for libraries that require one. Each line becomes an event with the given
// values followed by the line.
func (l *Limited) Logger(values ...any) *LibraryLogger {
	return log.New(lineWriter(func(text string) {
		l.Emit(time.Now(), append(append([]any(nil), values...), text)...)
	}), "", 0)
}

// lineWriter receives the lines of a log.Logger, one per Write.
type lineWriter func(text string)

// Write implements io.Writer.
func (f lineWriter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	f(text[:min(len(text), maxLineBytes)])
	return len(p), nil
}
