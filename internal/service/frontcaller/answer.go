package frontcaller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

const (
	// keepAliveInterval is the interval of keep-alive comments on a stream without data. They let
	// callers distinguish a slow answer from a dead connection.
	keepAliveInterval = time.Second
	// writeTimeout bounds one write to a caller's connection.
	writeTimeout = 10 * time.Second
)

// answerWriter converts answer events into an HTTP response.
type answerWriter interface {
	head(status int, contentType string)
	data(b []byte, tokens int)
	// idle is called every keepAliveInterval while no event is waiting.
	idle()
	end(tokens int)
	fail(f fault.Fault)
}

// serve submits a request and writes its answer until the last event. It reports a caller that
// disconnects to the entry service.
func (s *Service) serve(r *http.Request, sub port.Submission, w answerWriter) {
	if err := s.entry.Submit(sub); err != nil {
		w.fail(fault.Of(err))
		return
	}
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		if e, ok := sub.Events.TryGet(); ok {
			if writeEvent(w, e) {
				return
			}
			continue
		}
		select {
		case <-sub.Events.Ready():
		case <-ticker.C:
			w.idle()
		case <-sub.Events.Done():
			if sub.Events.Stats().Depth == 0 {
				w.fail(&fault.CallerSlow{})
				return
			}
		case <-r.Context().Done():
			s.entry.CallerGone(sub.ID)
			return
		}
	}
}

// writeEvent passes one event to the writer and reports whether it was the last.
func writeEvent(w answerWriter, e model.AnswerEvent) bool {
	switch e.Kind {
	case model.AnswerHead:
		w.head(e.Status, e.ContentType)
	case model.AnswerData:
		w.data(e.Data, e.Tokens)
	case model.AnswerEnd:
		w.end(e.Tokens)
		return true
	case model.AnswerFailed:
		w.fail(fault.Of(e.Err))
		return true
	}
	return false
}

// extendDeadline sets the deadline of the next write. If the caller does not read, the write
// fails, which ends the handler.
func extendDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// plainWriter writes the answer of a plain service. It buffers the answer until its end, so that
// an earlier failure can still be answered with a problem document.
type plainWriter struct {
	w           http.ResponseWriter
	id          string
	status      int
	contentType string
	body        bytes.Buffer
}

func (p *plainWriter) head(status int, contentType string) {
	p.status = status
	p.contentType = contentType
}

func (p *plainWriter) data(b []byte, _ int) { p.body.Write(b) }

func (p *plainWriter) idle() {}

func (p *plainWriter) end(int) {
	extendDeadline(p.w)
	if p.contentType != "" {
		p.w.Header().Set("Content-Type", p.contentType)
	}
	p.w.WriteHeader(p.status)
	_, _ = p.w.Write(p.body.Bytes())
}

func (p *plainWriter) fail(f fault.Fault) { httpserve.WriteProblem(p.w, f, p.id) }

// completion is a chat completion or one chunk of a streamed one.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

var finishStop = "stop"

// completionWriter answers a chat completion request with one JSON document.
type completionWriter struct {
	w     http.ResponseWriter
	model string
	id    string
	text  bytes.Buffer
}

func (o *completionWriter) head(int, string) {}

func (o *completionWriter) data(b []byte, _ int) { o.text.Write(b) }

func (o *completionWriter) idle() {}

func (o *completionWriter) end(tokens int) {
	extendDeadline(o.w)
	httpserve.WriteJSON(o.w, http.StatusOK, completion{
		ID: o.id, Object: "chat.completion", Created: time.Now().Unix(), Model: o.model,
		Choices: []completionChoice{{
			Message:      &chatMessage{Role: "assistant", Content: o.text.String()},
			FinishReason: &finishStop,
		}},
		Usage: &completionUsage{CompletionTokens: tokens},
	})
}

func (o *completionWriter) fail(f fault.Fault) { httpserve.WriteProblem(o.w, f, o.id) }

// streamWriter answers a chat completion request with server-sent events.
type streamWriter struct {
	w          http.ResponseWriter
	model      string
	id         string
	headerSent bool
}

func (s *streamWriter) head(int, string) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) data(b []byte, _ int) {
	s.sendChunk(completionChoice{Delta: &chatDelta{Content: string(b)}}, nil)
}

// idle sends a keep-alive comment if the stream has begun.
func (s *streamWriter) idle() {
	if s.headerSent {
		s.send([]byte(": keep-alive\n\n"))
	}
}

func (s *streamWriter) end(tokens int) {
	s.head(0, "")
	s.sendChunk(completionChoice{Delta: &chatDelta{}, FinishReason: &finishStop}, &completionUsage{CompletionTokens: tokens})
	s.send([]byte("data: [DONE]\n\n"))
}

// fail answers with a problem document, or with an error event if the stream has begun. The
// stream then ends without [DONE], so that no caller treats the answer as complete.
func (s *streamWriter) fail(f fault.Fault) {
	if !s.headerSent {
		httpserve.WriteProblem(s.w, f, s.id)
		return
	}
	body, err := json.Marshal(httpserve.ProblemOf(f, s.id))
	if err == nil {
		s.send(append(append([]byte("event: error\ndata: "), body...), '\n', '\n'))
	}
}

func (s *streamWriter) sendChunk(choice completionChoice, usage *completionUsage) {
	body, err := json.Marshal(completion{
		ID: s.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: s.model,
		Choices: []completionChoice{choice}, Usage: usage,
	})
	if err == nil {
		s.send(append(append([]byte("data: "), body...), '\n', '\n'))
	}
}

func (s *streamWriter) send(b []byte) {
	extendDeadline(s.w)
	_, _ = s.w.Write(b)
	_ = http.NewResponseController(s.w).Flush()
}
