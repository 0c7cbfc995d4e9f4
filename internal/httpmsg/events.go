package httpmsg

import (
	"bytes"
	"strconv"
)

// EventSplitter splits a stream of server-sent events into complete events, without changing the
// bytes, and checks the order of their ids. It holds at most one incomplete event of bounded size.
type EventSplitter struct {
	maxEventBytes int
	// pending holds the bytes of the event that is not complete yet, of which the first searched bytes
	// contain no end.
	pending  []byte
	searched int
	lastID   string
	// lastNumber is the value of lastID if numeric is set.
	lastNumber uint64
	numeric    bool
	// resumed is set if the stream continues another one, whose events had ids.
	resumed bool
}

// OrderError reports an event whose numeric id is not greater than that of the previous event.
type OrderError struct{ Before, Got string }

func (e *OrderError) Error() string { return "event " + e.Got + " follows event " + e.Before }

// MissingIDError reports an event without an id in a stream that continues another one. It may be the text of
// an error, which would end up in the middle of the answer.
type MissingIDError struct{ Before string }

func (e *MissingIDError) Error() string {
	return "an event without an id follows event " + e.Before + " of another server"
}

// EventTooLongError reports an event that is longer than the limit in bytes.
type EventTooLongError struct{ Limit int }

func (e *EventTooLongError) Error() string {
	return "an event is longer than " + strconv.Itoa(e.Limit) + " bytes"
}

// NewEventSplitter returns a splitter for events of up to maxEventBytes, including the blank line.
func NewEventSplitter(maxEventBytes int) *EventSplitter {
	return &EventSplitter{maxEventBytes: maxEventBytes}
}

// ResumeAfter sets the id of the event after which the stream continues. Its events must have ids.
func (e *EventSplitter) ResumeAfter(id string) {
	e.setLast([]byte(id))
	e.resumed = true
}

// setLast stores the id of an event, and its value if the id is a number.
func (e *EventSplitter) setLast(id []byte) {
	e.lastID = string(id)
	n, err := strconv.ParseUint(e.lastID, 10, 64)
	e.lastNumber, e.numeric = n, err == nil
}

// LastID returns the id of the last complete event that has one, or the id given to ResumeAfter. It
// is empty if there is none.
func (e *EventSplitter) LastID() string { return e.lastID }

// PendingBytes returns the number of bytes of the incomplete last event, without surrounding white
// space.
func (e *EventSplitter) PendingBytes() int { return len(bytes.TrimSpace(e.pending)) }

// Feed adds data and returns the bytes and the number of the events that it completes. The returned
// slice belongs to the caller. An event out of order is reported as an *OrderError, one without an id in a
// resumed stream as a *MissingIDError, an event that is too long as an *EventTooLongError; neither that event
// nor any after it is returned, and no more data may be added.
func (e *EventSplitter) Feed(data []byte) (whole []byte, events int, err error) {
	e.pending = append(e.pending, data...)
	consumed := 0
	for {
		end := eventEnd(e.pending[consumed:], e.searched)
		length := end
		if end < 0 {
			length = len(e.pending) - consumed
		}
		if length > e.maxEventBytes {
			err = &EventTooLongError{Limit: e.maxEventBytes}
			break
		}
		if end < 0 {
			e.searched = length
			break
		}
		if err = e.check(e.pending[consumed : consumed+end]); err != nil {
			break
		}
		consumed += end
		events++
		e.searched = 0
	}
	if consumed > 0 {
		whole = bytes.Clone(e.pending[:consumed])
		e.pending = append(e.pending[:0], e.pending[consumed:]...)
	}
	if err != nil {
		e.pending = nil
	}
	return whole, events, err
}

// check checks the id of the next event and stores it.
func (e *EventSplitter) check(event []byte) error {
	id := eventID(event)
	switch {
	case id != nil:
		return e.advance(id)
	case e.resumed && !isComment(event):
		return &MissingIDError{Before: e.lastID}
	}
	return nil
}

// isComment reports whether an event has no fields. Servers send comments to keep connections open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// advance stores the id of the next event. Ids that are numbers must increase; for one that does not,
// it keeps the previous id and returns an *OrderError.
func (e *EventSplitter) advance(id []byte) error {
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
// complete event. The first searched bytes are known to contain no end.
func eventEnd(b []byte, searched int) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		// A blank line may begin within the searched bytes.
		from := max(searched-len(blank)+1, 0)
		if i := bytes.Index(b[from:], blank); i >= 0 && (end < 0 || from+i+len(blank) < end) {
			end = from + i + len(blank)
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
