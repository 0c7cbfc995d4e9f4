package httpmsg

import (
	"bytes"
	"strconv"
)

// Events splits a stream of server-sent events into complete events, without changing the bytes, and
// checks the order of their ids.
type Events struct {
	// pending holds the bytes of the event that is not complete yet.
	pending []byte
	lastID  string
	// lastNumber is the value of lastID if numeric is set.
	lastNumber uint64
	numeric    bool
}

// OrderError reports an event whose numeric id is not greater than that of the previous event.
type OrderError struct{ Before, Got string }

func (e *OrderError) Error() string { return "event " + e.Got + " follows event " + e.Before }

// After sets the id of the event after which the stream continues.
func (e *Events) After(id string) { e.setLast([]byte(id)) }

// setLast stores the id of an event, and its value if the id is a number.
func (e *Events) setLast(id []byte) {
	e.lastID = string(id)
	n, err := strconv.ParseUint(e.lastID, 10, 64)
	e.lastNumber, e.numeric = n, err == nil
}

// Last returns the id of the last complete event that has one, or the id given to After. It is
// empty if there is none.
func (e *Events) Last() string { return e.lastID }

// Rest returns the number of bytes of the incomplete last event, without surrounding white space.
func (e *Events) Rest() int { return len(bytes.TrimSpace(e.pending)) }

// Take adds data and returns the bytes and the number of the events that it completes. The returned
// slice belongs to the caller. An event out of order is reported as an *OrderError, and neither that
// event nor any after it is returned.
func (e *Events) Take(data []byte) (whole []byte, events int, err error) {
	e.pending = append(e.pending, data...)
	consumed := 0
	for {
		end := eventEnd(e.pending[consumed:])
		if end < 0 {
			break
		}
		if id := eventID(e.pending[consumed : consumed+end]); id != nil {
			if err = e.advance(id); err != nil {
				break
			}
		}
		consumed += end
		events++
	}
	if consumed > 0 {
		whole = bytes.Clone(e.pending[:consumed])
		e.pending = append(e.pending[:0], e.pending[consumed:]...)
	}
	return whole, events, err
}

// advance stores the id of the next event. Ids that are numbers must increase; for one that does not,
// it keeps the previous id and returns an *OrderError.
func (e *Events) advance(id []byte) error {
	prevID, prevNumber, prevNumeric := e.lastID, e.lastNumber, e.numeric
	e.setLast(id)
	if prevNumeric && e.numeric && e.lastNumber <= prevNumber {
		got := e.lastID
		e.lastID, e.lastNumber, e.numeric = prevID, prevNumber, prevNumeric
		return &OrderError{Before: prevID, Got: got}
	}
	return nil
}

// eventEnd returns the length of the first event including its blank line, or -1 if there is no
// complete event.
func eventEnd(b []byte) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(b, blank); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

// eventID returns the value of the event's first id line, or nil if it has none.
func eventID(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return bytes.TrimSpace(rest)
		}
	}
	return nil
}
