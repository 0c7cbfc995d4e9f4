package logscan

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"briaryard/internal/event"
)

// maxLineBytes bounds a log line; longer ones are passed over.
const maxLineBytes = 1 << 20

// Record is one log line.
type Record struct {
	Time time.Time
	// Process is the text before the event, which names the process where logs were merged.
	Process string
	Number  int
	Name    string
	Fields  map[string]any
}

// Text returns a field as text, or "".
func (r *Record) Text(field string) string {
	text, _ := r.Fields[field].(string)
	return text
}

// Duration returns a field that holds nanoseconds, or zero.
func (r *Record) Duration(field string) time.Duration {
	n, _ := r.Fields[field].(float64)
	return time.Duration(n)
}

// Scan reads log lines and passes those for which want returns true to take. It returns how many lines
// were no log lines.
func Scan(in io.Reader, want func(line []byte) bool, take func(Record)) (skipped int, err error) {
	lines := bufio.NewReaderSize(in, maxLineBytes)
	for {
		line, err := lines.ReadSlice('\n')
		switch {
		case err == bufio.ErrBufferFull:
			skipped++
			for err == bufio.ErrBufferFull {
				_, err = lines.ReadSlice('\n')
			}
		case len(line) > 0 && want(line):
			if r, ok := parse(line); ok {
				take(r)
			} else {
				skipped++
			}
		}
		if err == io.EOF {
			return skipped, nil
		}
		if err != nil {
			return skipped, err
		}
	}
}

// parse parses a line. It reports false if the line holds no event.
func parse(line []byte) (Record, bool) {
	at := bytes.IndexByte(line, '{')
	if at < 0 {
		return Record{}, false
	}
	r := Record{Process: strings.TrimSpace(string(line[:at]))}
	if err := json.Unmarshal(line[at:], &r.Fields); err != nil {
		return Record{}, false
	}
	number, _ := r.Fields["event"].(float64)
	r.Number, r.Name = int(number), r.Text("msg")
	when, err := time.Parse(time.RFC3339Nano, r.Text("time"))
	if err != nil || r.Number == 0 {
		return Record{}, false
	}
	r.Time = when
	if fields := strings.Fields(r.Process); len(fields) > 0 {
		r.Process = fields[len(fields)-1]
	}
	return r, true
}

// sortByTime sorts records by time. Clocks of machines differ, so the order between processes is
// approximate.
func sortByTime(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// is reports whether a record is one of an event.
func (r *Record) is(d event.Def) bool { return r.Number == d.Number }
