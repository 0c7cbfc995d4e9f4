package event

import (
	"log"
	"strings"
	"sync"
	"time"
)

const (
	// limitedBurst events are written in each limitedWindow. What strangers on the network can
	// cause must not fill the log or push other events out of what is kept for operators.
	limitedBurst  = 10
	limitedWindow = time.Minute
	// maxText bounds a text that comes from a library; a stack trace of a panic fits.
	maxText = 4096
)

// Limited writes one event at a bounded rate. The event's last field is the number of those that
// were left out since the one before.
type Limited struct {
	log *Log
	def Def

	mu      sync.Mutex
	window  time.Time
	written int
	left    int
}

// Limit returns a writer of an event at a bounded rate.
func (l *Log) Limit(d Def) *Limited { return &Limited{log: l, def: d} }

// Emit writes the event, or leaves it out. The values belong to all fields but the last.
func (l *Limited) Emit(now time.Time, values ...any) {
	if left, ok := l.take(now); ok {
		l.log.Emit(l.def, append(values, left)...)
	}
}

func (l *Limited) take(now time.Time) (left int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.window) >= limitedWindow {
		l.window, l.written = now, 0
	}
	if l.written >= limitedBurst {
		l.left++
		return 0, false
	}
	l.written++
	left, l.left = l.left, 0
	return left, true
}

// LibraryLogger is the logger that libraries ask for. Only this package makes one.
type LibraryLogger = log.Logger

// Logger returns a logger for libraries that need one. Each line becomes an event with the values
// before it.
func (l *Limited) Logger(values ...any) *LibraryLogger {
	return log.New(lines(func(text string) {
		l.Emit(time.Now(), append(append([]any(nil), values...), text)...)
	}), "", 0)
}

// lines receives the lines of a log.Logger, one in each Write.
type lines func(text string)

// Write implements io.Writer.
func (f lines) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	f(text[:min(len(text), maxText)])
	return len(p), nil
}
