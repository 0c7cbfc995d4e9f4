package event

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// Def defines an event.
type Def struct {
	Number int
	Name   string
	Level  slog.Level
	// Help says what the event means to an operator.
	Help string
	// Fields are the attributes that the event carries.
	Fields []string
}

var table []Def

// define adds an event to the table.
func define(number int, level slog.Level, name, help string, fields ...string) Def {
	d := Def{Number: number, Name: name, Level: level, Help: help, Fields: fields}
	table = append(table, d)
	return d
}

// Table returns all events by number.
func Table() []Def {
	t := slices.Clone(table)
	slices.SortFunc(t, func(a, b Def) int { return a.Number - b.Number })
	return t
}

// Record is an event that was logged, as kept for operators.
type Record struct {
	Time   time.Time      `json:"time"`
	Event  string         `json:"event"`
	Number int            `json:"number"`
	Fields map[string]any `json:"fields"`
}

// recentRecords bounds the memory for the explain command to about 4 MB.
const recentRecords = 8192

// Log writes events.
type Log struct {
	out *slog.Logger
	// streams is set if nothing is kept for operators.
	streams bool

	mu     sync.Mutex
	recent []Record
	next   int
}

// New returns a log that writes through the logger.
func New(out *slog.Logger) *Log { return &Log{out: out} }

// NewStream returns a log that writes one JSON line for each event of a level (debug, info, warn or
// error) or above. It keeps no events: its lines are all there is.
func NewStream(out io.Writer, level string) (*Log, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	return &Log{out: slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: l})), streams: true}, nil
}

// Emit writes an event. The values belong to the event's fields, in order.
func (l *Log) Emit(d Def, values ...any) {
	if l.streams && !l.out.Enabled(context.Background(), d.Level) {
		return
	}
	attrs := make([]slog.Attr, 0, len(values)+1)
	attrs = append(attrs, slog.Int("event", d.Number))
	for i, v := range values {
		if i < len(d.Fields) {
			attrs = append(attrs, slog.Any(d.Fields[i], v))
		}
	}
	l.out.LogAttrs(context.Background(), d.Level, d.Name, attrs...)
	if !l.streams {
		l.keep(d, values)
	}
}

func (l *Log) keep(d Def, values []any) {
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

// Recent returns the kept events for which match returns true, oldest first.
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
