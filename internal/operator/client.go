package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
	"briaryard/internal/trust"
)

const (
	// callTimeout is longer than the time that an instance waits for the control group.
	callTimeout = 15 * time.Second
	// maxAnswer bounds the size of an answer; at the design size, the status takes about 1 MB.
	maxAnswer = 64 << 20
)

// Client calls the operator endpoint of one of several instances.
type Client struct {
	addresses []string
	http      *http.Client
}

// NewClient returns a client that tries the addresses in order.
func NewClient(addresses []string) *Client {
	return NewSecuredClient(addresses, nil)
}

// NewSecuredClient returns a client like NewClient that secures its calls as configured by outgoing.
func NewSecuredClient(addresses []string, outgoing *trust.Outgoing) *Client {
	return &Client{addresses: addresses, http: &http.Client{
		Timeout: callTimeout, Transport: outgoing.Transport(&http.Transport{}), CheckRedirect: trust.NoRedirects,
	}}
}

// Addresses returns the addresses that the client tries, in order.
func (c *Client) Addresses() []string { return c.addresses }

// At returns a client for a single address.
func (c *Client) At(address string) *Client {
	return &Client{addresses: []string{address}, http: c.http}
}

// Get reads a message from the first instance that answers.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodGet, path, nil, into)
}

// Post sends a message. If an instance does not answer, Post tries the next address, so the
// message must be idempotent. A configuration change is idempotent because of its id.
func (c *Client) Post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &fault.Internal{Err: err}
	}
	return c.call(ctx, http.MethodPost, path, data, into)
}

// Text returns the answer of a path that does not use JSON.
func (c *Client) Text(ctx context.Context, path string) (string, error) {
	var text string
	err := c.call(ctx, http.MethodGet, path, nil, &text)
	return text, err
}

// Explain returns the events of a request.
func (c *Client) Explain(ctx context.Context, request string) (Explanation, error) {
	var e Explanation
	err := c.Get(ctx, PathExplain+"?request="+url.QueryEscape(request), &e)
	return e, err
}

// call tries the addresses in order until an instance answers.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	var last error
	for _, address := range c.addresses {
		last = c.callAt(ctx, address, method, path, body, into)
		if _, unreachable := last.(*fault.OperatorUnreachable); !unreachable {
			return last
		}
	}
	if last == nil {
		last = &fault.InvalidSetting{Setting: "--address", Reason: "want at least one address"}
	}
	return last
}

func (c *Client) callAt(ctx context.Context, address, method, path string, body []byte, into any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return &fault.InvalidSetting{Setting: "--address", Reason: err.Error()}
	}
	if body != nil {
		r.Header.Set("Content-Type", contentType)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return &fault.OperatorUnreachable{Address: address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return &fault.OperatorUnreachable{Address: address, Err: err}
	}
	if response.StatusCode >= http.StatusBadRequest && path != PathHealth && path != PathReady {
		return problem(response.StatusCode, data)
	}
	if text, ok := into.(*string); ok {
		*text = string(data)
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &fault.Internal{Err: err}
	}
	return nil
}

// contentType is required for changes, so that a page of another origin in an operator's browser
// cannot send one: browsers send JSON to another origin only after a CORS preflight request.
const contentType = "application/json"

// RequireJSON reports whether a request has the content type that the endpoint requires for changes.
func RequireJSON(r *http.Request) bool { return r.Header.Get("Content-Type") == contentType }

// problem converts a problem document back to an error with the same code.
func problem(status int, data []byte) error {
	var p httpserve.Problem
	if err := json.Unmarshal(data, &p); err != nil || !strings.HasPrefix(p.Type, httpserve.ProblemTypePrefix) {
		return &fault.ServerStatus{Status: status}
	}
	return &fault.Remote{Name: fault.Code(strings.TrimPrefix(p.Type, httpserve.ProblemTypePrefix)), Detail: p.Detail}
}
