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

// maxLine bounds one line of a stream in bytes.
const maxLine = 1 << 20

// chunk is the JSON data of one event of an engine's stream.
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

// stream is the progress of one call across all its connections.
type stream struct {
	sink outcall.Sink
	// admitted is set once the engine has answered with a stream.
	admitted bool
	// headSent is set once StreamHead has been sent.
	headSent bool
	// nextToken is the number of the next expected token.
	nextToken     int
	prefillTokens int
}

// resumable reports whether a new connection may continue the stream after err. This holds for a
// broken or silent connection, also before the engine has answered, but not for any other typed
// failure.
func (s *stream) resumable(err error) bool {
	var f fault.Fault
	if errors.As(err, &f) {
		return f.Code() == fault.CodeStreamSilent
	}
	return true
}

// read handles events until the stream's end marker. It calls onLine for every line.
func (s *stream) read(body io.Reader, onLine func()) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	id := -1
	for lines.Scan() {
		onLine()
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
				s.sink(port.StreamEvent{Kind: port.StreamEnd, PrefillTokens: s.prefillTokens})
				return nil
			}
			if err := s.handleEvent(id, value); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// handleEvent handles one event. Each token has a number, so that duplicates after a resume are
// dropped and a gap is detected.
func (s *stream) handleEvent(id int, data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return &fault.StreamMalformed{Reason: err.Error()}
	}
	if c.Usage != nil {
		s.prefillTokens = c.Usage.PrefillTokens
	}
	if len(c.Choices) == 0 || id < s.nextToken {
		return nil
	}
	if id > s.nextToken {
		return &fault.StreamMalformed{Reason: "a token is missing"}
	}
	s.nextToken++
	if !s.headSent {
		s.headSent = true
		s.sink(port.StreamEvent{Kind: port.StreamHead, Status: 200, ContentType: "text/plain; charset=utf-8"})
	}
	s.sink(port.StreamEvent{
		Kind: port.StreamData, Data: []byte(c.Choices[0].Delta.Content), Tokens: 1, PrefillTokens: s.prefillTokens,
	})
	return nil
}
