package plainclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/fault"
	"briaryard/internal/httpanswer"
	"briaryard/internal/outcall"
	"briaryard/internal/port"
	"briaryard/internal/trust"
)

const (
	dialTimeout = 2 * time.Second
	// callTimeout bounds a whole call. A call to a plain service cannot be resumed.
	callTimeout = 60 * time.Second
	// maxBody bounds the body of an answer in bytes. A longer answer is treated as interrupted.
	maxBody = 8 << 20
	// NotAdmittedHeader is the header with which a plain service states that it did not run
	// the call.
	NotAdmittedHeader = "Briaryard-Not-Admitted"
)

// New returns the service. outgoing adds the token and TLS to the calls.
func New(outgoing *trust.Outgoing) *outcall.Group {
	c := &client{outgoing: outgoing, http: &http.Client{
		Timeout:       callTimeout,
		Transport:     &httpanswer.Transport{Dial: outgoing.Dial(httpanswer.Dial(&net.Dialer{Timeout: dialTimeout}))},
		CheckRedirect: trust.NoRedirects,
	}}
	return outcall.NewGroup(port.PlainClientName, c.call)
}

type client struct {
	outgoing *trust.Outgoing
	http     *http.Client
}

// call performs one call. It reads the whole answer before it sends any part of it to the sink, so
// that a failed call delivers no data.
func (c *client) call(ctx context.Context, out port.Outbound, sink outcall.Sink) {
	response, err := c.send(ctx, out)
	if err != nil {
		sink(port.StreamEvent{Kind: port.StreamFailed, NotRun: outcall.NotConnected(err), Err: err})
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(NotAdmittedHeader) == "true" {
		sink(port.StreamEvent{Kind: port.StreamFailed, NotRun: true, Err: &fault.NotAdmitted{Status: response.StatusCode}})
		return
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = &fault.AnswerTooLarge{Limit: maxBody}
	}
	if err != nil {
		sink(port.StreamEvent{Kind: port.StreamFailed, Err: errors.Wrap(err, "read answer")})
		return
	}
	sink(port.StreamEvent{Kind: port.StreamHead, Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")})
	sink(port.StreamEvent{Kind: port.StreamData, Data: body})
	sink(port.StreamEvent{Kind: port.StreamEnd})
}

func (c *client) send(ctx context.Context, out port.Outbound) (*http.Response, error) {
	url := "http://" + out.Server.Address + out.Call.Path
	if out.Call.Query != "" {
		url += "?" + out.Call.Query
	}
	request, err := http.NewRequestWithContext(ctx, out.Call.Method, url, bytes.NewReader(out.Call.Body))
	if err != nil {
		return nil, err
	}
	c.outgoing.Authorize(request.Header)
	request.Header.Set("X-Request-Id", out.Request.String())
	if out.Call.ContentType != "" {
		request.Header.Set("Content-Type", out.Call.ContentType)
	}
	if out.Call.Key != "" {
		request.Header.Set("Idempotency-Key", out.Call.Key)
	}
	return c.http.Do(request)
}
