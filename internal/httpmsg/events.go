package httpmsg

import (
	"bytes"
	"strconv"
)

// Events divides a stream of server-sent events into whole events. It passes the bytes on
// unchanged.
type Events struct {
	pending []byte
	last    string
	number  uint64
	counted bool
}

// OrderError reports an event whose id is not above that of the event before.
type OrderError struct{ Before, Got string }

func (e *OrderError) Error() string { return "event " + e.Got + " follows event " + e.Before }

// After makes the stream go on after an event.
func (e *Events) After(id string) { e.note([]byte(id)) }

// note takes the id of an event.
func (e *Events) note(id []byte) {
	e.last = string(id)
	n, err := strconv.ParseUint(e.last, 10, 64)
	e.number, e.counted = n, err == nil
}

// Last returns the id of the last whole event, or nothing.
func (e *Events) Last() string { return e.last }

// Rest returns the number of bytes that belong to no whole event yet.
func (e *Events) Rest() int { return len(bytes.TrimSpace(e.pending)) }

// Take adds bytes and returns those of the events that they complete, and the number of them. The
// result is the caller's. An event that does not follow in order is an error, and neither it nor
// what comes after it is returned.
func (e *Events) Take(data []byte) (whole []byte, events int, err error) {
	e.pending = append(e.pending, data...)
	taken := 0
	for {
		end := eventEnd(e.pending[taken:])
		if end < 0 {
			break
		}
		if id := eventID(e.pending[taken : taken+end]); id != nil {
			if err = e.follow(id); err != nil {
				break
			}
		}
		taken += end
		events++
	}
	if taken > 0 {
		whole = bytes.Clone(e.pending[:taken])
		e.pending = append(e.pending[:0], e.pending[taken:]...)
	}
	return whole, events, err
}

// follow takes the id of the next event. Ids that are numbers must grow.
func (e *Events) follow(id []byte) error {
	before, number, counted := e.last, e.number, e.counted
	e.note(id)
	if counted && e.counted && e.number <= number {
		got := e.last
		e.last, e.number, e.counted = before, number, counted
		return &OrderError{Before: before, Got: got}
	}
	return nil
}

// eventEnd returns the length of the first event with its blank line, or -1.
func eventEnd(b []byte) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(b, blank); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

// eventID returns the value of the event's id line, or nil.
func eventID(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return bytes.TrimSpace(rest)
		}
	}
	return nil
}
