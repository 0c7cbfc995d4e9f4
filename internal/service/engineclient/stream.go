package engineclient

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/go-faster/errors"

	"briaryard/internal/fault"
	"briaryard/internal/outcall"
	"briaryard/internal/port"
)

// maxLine bounds one line of a stream.
const maxLine = 1 << 20

// chunk is one event of an engine's stream.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PrefillTokens int `json:"prefill_tokens"`
	} `json:"usage"`
}

// stream is what has been read of a call over all its connections.
type stream struct {
	sink outcall.Sink
	// admitted is set once an engine has answered with a stream.
	admitted bool
	headed   bool
	// next is the number of the next token.
	next    int
	prefill int
}

// resumable reports whether a new connection can continue the stream after err. A broken or
// silent connection leaves that open, also before the engine has answered; a stated failure
// does not.
func (s *stream) resumable(err error) bool {
	var f fault.Fault
	if errors.As(err, &f) {
		return f.Code() == fault.CodeStreamSilent
	}
	return true
}

// read takes events until the stream's end mark. alive is called for every line.
func (s *stream) read(body io.Reader, alive func()) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	id := -1
	for lines.Scan() {
		alive()
		field, value, _ := bytes.Cut(lines.Bytes(), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			n, err := strconv.Atoi(string(value))
			if err != nil {
				return &fault.StreamMalformed{Reason: "event id is not a number"}
			}
			id = n
		case "data":
			if string(value) == "[DONE]" {
				s.sink(port.StreamEvent{Kind: port.StreamEnd, PrefillTokens: s.prefill})
				return nil
			}
			if err := s.event(id, value); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// event takes one event. Each token has a number, so that repeats after a resume are
// dropped and a gap is noticed.
func (s *stream) event(id int, data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return &fault.StreamMalformed{Reason: err.Error()}
	}
	if c.Usage != nil {
		s.prefill = c.Usage.PrefillTokens
	}
	if len(c.Choices) == 0 || id < s.next {
		return nil
	}
	if id > s.next {
		return &fault.StreamMalformed{Reason: "a token is missing"}
	}
	s.next++
	if !s.headed {
		s.headed = true
		s.sink(port.StreamEvent{Kind: port.StreamHead, Status: 200, ContentType: "text/plain; charset=utf-8"})
	}
	s.sink(port.StreamEvent{
		Kind: port.StreamData, Data: []byte(c.Choices[0].Delta.Content), Tokens: 1, PrefillTokens: s.prefill,
	})
	return nil
}
