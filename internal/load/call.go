package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"briaryard/internal/httpserve"
	"briaryard/internal/standin/engine"
)

// outcome classifies the result of one attempt.
type outcome uint8

const (
	// complete: the whole answer to this request.
	complete outcome = iota
	// refused: the answer is a problem document, or the stream ended with one.
	refused
	// broken: the connection failed before the end of the answer, so the caller knows that
	// the answer is incomplete.
	broken
	// cut: the answer is incomplete although it ended normally.
	cut
	// mixed: the answer contains text that does not belong to this request.
	mixed
)

// attempt is the result of one HTTP request.
type attempt struct {
	outcome   outcome
	address   string
	requestID string
	problem   httpserve.Problem
	// firstToken is the time until the first token of a stream, or until the whole body of a
	// booking answer.
	firstToken time.Duration
	total      time.Duration
}

func (a *attempt) String() string {
	names := [...]string{complete: "whole", refused: a.problem.Type, broken: "broken", cut: "cut", mixed: "mixed"}
	return names[a.outcome] + " at " + a.address
}

const tokenHeader = "Authorization"

// call sends one attempt of a request and classifies the answer.
func (r *runner) call(ctx context.Context, a *arrival, address string) attempt {
	began := time.Now()
	result := attempt{outcome: broken, address: address}
	request, err := r.newRequest(ctx, a, address)
	if err != nil {
		return result
	}
	response, err := r.client.Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.requestID = response.Header.Get("Briaryard-Request")
	if response.Header.Get("Content-Type") == "application/problem+json" {
		if json.NewDecoder(response.Body).Decode(&result.problem) == nil {
			result.outcome = refused
		}
		result.total = time.Since(began)
		return result
	}
	if a.class.Model != "" {
		r.readStream(a, response.Body, &result, began)
	} else {
		readBooking(a, response, &result, began)
	}
	result.total = time.Since(began)
	return result
}

// chatMessage is one message of a chat request.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a chat request.
type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// newRequest builds the HTTP request of an arrival: a streamed chat, a keyed POST whose body is
// the key, or a GET.
func (r *runner) newRequest(ctx context.Context, a *arrival, address string) (*http.Request, error) {
	path, body, method := "/v1/chat/completions", []byte(nil), http.MethodPost
	if a.class.Model != "" {
		var err error
		if body, err = json.Marshal(chatBody{Model: a.class.Model, Stream: true, MaxTokens: a.tokens, Messages: a.messages()}); err != nil {
			return nil, err
		}
	} else {
		path = "/v1/services/" + a.class.Service + a.class.Path
		body = []byte(a.key)
		if !a.class.Keyed {
			method, body = http.MethodGet, nil
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Briaryard-Team", a.class.Team)
	request.Header.Set("Briaryard-Tier", a.class.Tier)
	request.Header.Set("Briaryard-Deadline-Ms", strconv.FormatInt(a.class.Deadline.Milliseconds(), 10))
	if a.key != "" {
		request.Header.Set("Idempotency-Key", a.key)
	}
	if token := r.options.TeamTokens[a.class.Team]; token != "" {
		request.Header.Set(tokenHeader, "Bearer "+token)
	}
	return request, nil
}

func (a *arrival) messages() []chatMessage {
	return []chatMessage{{Role: "user", Content: a.prompt}}
}

// readStream reads a streamed answer and compares its text with the one that the stand-in
// engine generates for this prompt.
func (r *runner) readStream(a *arrival, body io.Reader, result *attempt, began time.Time) {
	prompt, err := json.Marshal(a.messages())
	if err != nil {
		return
	}
	var text strings.Builder
	lines := bufio.NewScanner(body)
	failed := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == "event: error":
			failed = true
		case !ok:
		case failed:
			if json.Unmarshal([]byte(data), &result.problem) == nil {
				result.outcome = refused
			}
			return
		case data == "[DONE]":
			result.outcome = classifyText(text.String(), prompt, a.tokens)
			return
		default:
			if result.firstToken == 0 {
				result.firstToken = time.Since(began)
			}
			text.WriteString(deltaContent(data))
		}
	}
}

// streamChunk is one event of a streamed answer.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// deltaContent returns the text of a chunk, or the empty string if the chunk is malformed.
func deltaContent(data string) string {
	var c streamChunk
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// classifyText compares the text of a stream that ended with [DONE] with the expected text.
func classifyText(got string, prompt []byte, tokens int) outcome {
	var want strings.Builder
	for i := range tokens {
		want.WriteString(engine.AnswerToken(prompt, i))
	}
	switch {
	case got == want.String():
		return complete
	case strings.HasPrefix(want.String(), got):
		return cut
	default:
		return mixed
	}
}

// bookingAnswer is the answer of the stand-in booking service; Echo is the body of the request.
type bookingAnswer struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Echo string `json:"echo"`
}

// readBooking reads a booking answer and checks that it has the path and the key of its request.
func readBooking(a *arrival, response *http.Response, result *attempt, began time.Time) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	result.firstToken = time.Since(began)
	var answer bookingAnswer
	switch {
	case json.Unmarshal(body, &answer) != nil:
		result.outcome = cut
	case answer.Path != a.class.Path || answer.Key != a.key || answer.Echo != a.key:
		result.outcome = mixed
	default:
		result.outcome = complete
	}
}
