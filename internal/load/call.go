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

// outcome is what one attempt came back with.
type outcome uint8

const (
	// whole: the caller's own whole answer.
	whole outcome = iota
	// refused: a problem document.
	refused
	// broken: the connection failed before the end of the answer; the caller knows that it
	// has no whole answer.
	broken
	// cut: the answer ended as if it were whole, and is not.
	cut
	// mixed: the answer holds parts of another answer.
	mixed
)

// attempt is the result of one HTTP request.
type attempt struct {
	outcome outcome
	address string
	request string
	problem httpserve.Problem
	first   time.Duration
	total   time.Duration
}

func (a *attempt) String() string {
	names := [...]string{whole: "whole", refused: a.problem.Type, broken: "broken", cut: "cut", mixed: "mixed"}
	return names[a.outcome] + " at " + a.address
}

const tokenHeader = "Authorization"

// call sends one attempt of a request and judges what comes back.
func (r *runner) call(ctx context.Context, a *arrival, address string) attempt {
	began := time.Now()
	result := attempt{outcome: broken, address: address}
	request, err := r.request(ctx, a, address)
	if err != nil {
		return result
	}
	response, err := r.client.Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.request = response.Header.Get("Briaryard-Request")
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

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

func (r *runner) request(ctx context.Context, a *arrival, address string) (*http.Request, error) {
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
	if token := r.options.Tokens[a.class.Team]; token != "" {
		request.Header.Set(tokenHeader, "Bearer "+token)
	}
	return request, nil
}

func (a *arrival) messages() []chatMessage {
	return []chatMessage{{Role: "user", Content: a.prompt}}
}

// readStream checks each token of a streamed answer against the text that the stand-in
// engine gives for this prompt.
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
			result.outcome = judgeText(text.String(), prompt, a.tokens)
			return
		default:
			if result.first == 0 {
				result.first = time.Since(began)
			}
			text.WriteString(deltaOf(data))
		}
	}
}

type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func deltaOf(data string) string {
	var c streamChunk
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// judgeText compares an answer that claims to be whole with the expected one.
func judgeText(got string, prompt []byte, tokens int) outcome {
	var want strings.Builder
	for i := range tokens {
		want.WriteString(engine.Text(prompt, i))
	}
	switch {
	case got == want.String():
		return whole
	case strings.HasPrefix(want.String(), got):
		return cut
	default:
		return mixed
	}
}

type bookingAnswer struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Echo string `json:"echo"`
}

func readBooking(a *arrival, response *http.Response, result *attempt, began time.Time) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	result.first = time.Since(began)
	var answer bookingAnswer
	switch {
	case json.Unmarshal(body, &answer) != nil:
		result.outcome = cut
	case answer.Path != a.class.Path || answer.Key != a.key || answer.Echo != a.key:
		result.outcome = mixed
	default:
		result.outcome = whole
	}
}
