package event

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// Def is the definition of an event.
type Def struct {
	Number int
	Name   string
	Level  slog.Level
	// Help explains the event to an operator.
	Help string
	// Fields are the keys of the event's attributes, in the order of the values given to Emit.
	Fields []string
}

var table []Def

// define adds an event to the table.
func define(number int, level slog.Level, name, help string, fields ...string) Def {
	d := Def{Number: number, Name: name, Level: level, Help: help, Fields: fields}
	table = append(table, d)
	return d
}

// Table returns all events, sorted by number.
func Table() []Def {
	t := slices.Clone(table)
	slices.SortFunc(t, func(a, b Def) int { return a.Number - b.Number })
	return t
}

// Record is a logged event as it is stored for operators.
type Record struct {
	Time   time.Time      `json:"time"`
	Event  string         `json:"event"`
	Number int            `json:"number"`
	Fields map[string]any `json:"fields"`
}

// recentRecords is the number of events stored for the explain command, about 4 MB of memory.
const recentRecords = 8192

// Log writes events to a logger and, unless it was made by NewStream, stores the latest ones for
// operators.
type Log struct {
	logger *slog.Logger
	// streamOnly is set if no events are stored for operators.
	streamOnly bool

	mu     sync.Mutex
	recent []Record
	// next is the index of the oldest event once recent is full; the next event overwrites it.
	next int
}

// New returns a log that writes through the logger.
func New(logger *slog.Logger) *Log { return &Log{logger: logger} }

// NewStream returns a log that writes a JSON line for each event at or above a level (debug, info,
// warn or error). It stores no events, so Recent returns none.
func NewStream(out io.Writer, level string) (*Log, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	return &Log{logger: slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: l})), streamOnly: true}, nil
}

// Emit writes an event. The values are those of the event's fields, in order.
func (l *Log) Emit(d Def, values ...any) {
	if l.streamOnly && !l.logger.Enabled(context.Background(), d.Level) {
		return
	}
	attrs := make([]slog.Attr, 0, len(values)+1)
	attrs = append(attrs, slog.Int("event", d.Number))
	for i, v := range values {
		if i < len(d.Fields) {
			attrs = append(attrs, slog.Any(d.Fields[i], v))
		}
	}
	l.logger.LogAttrs(context.Background(), d.Level, d.Name, attrs...)
	if !l.streamOnly {
		l.store(d, values)
	}
}

// store adds the event to the ring buffer of recent events.
func (l *Log) store(d Def, values []any) {
	fields := make(map[string]any, len(values))
	for i, v := range values {
		if i < len(d.Fields) {
			fields[d.Fields[i]] = v
		}
	}
	r := Record{Time: time.Now(), Event: d.Name, Number: d.Number, Fields: fields}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.recent) < recentRecords {
		l.recent = append(l.recent, r)
		return
	}
	l.recent[l.next] = r
	l.next = (l.next + 1) % recentRecords
}

// Recent returns the stored events for which match returns true, oldest first.
func (l *Log) Recent(match func(Record) bool) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for i := range l.recent {
		if r := l.recent[(l.next+i)%len(l.recent)]; match(r) {
			out = append(out, r)
		}
	}
	return out
}
