package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"briaryard/internal/decide/placement"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/httpanswer"
	"briaryard/internal/kernel"
	"briaryard/internal/outcall"
	"briaryard/internal/port"
	"briaryard/internal/trust"
)

const (
	dialTimeout = 2 * time.Second
	// silenceTimeout is how long a stream may carry neither a token nor a keep-alive line. Engines
	// send a keep-alive every second.
	silenceTimeout = 3 * time.Second
	// maxResumes bounds the consecutive resumes of a stream without a new token, and the attempts
	// to cancel a call.
	maxResumes = 5
	// resumeDelay is the delay before each resume and between the attempts to cancel a call, so
	// that an unreachable engine is not called in a tight loop.
	resumeDelay = 200 * time.Millisecond
	// cancelTimeout bounds the request that cancels a call at the engine.
	cancelTimeout = 3 * time.Second
	// maxStateBody bounds the answer to that request in bytes.
	maxStateBody = 4096
)

// New returns the service. outgoing adds the token and TLS to the calls.
func New(log *event.Log, outgoing *trust.Outgoing) *Service {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &client{log: log, outgoing: outgoing, dial: outgoing.Dial(dialer.DialContext), http: &http.Client{
		Transport:     &httpanswer.Transport{Dial: outgoing.Dial(httpanswer.Dial(dialer))},
		CheckRedirect: trust.NoRedirects,
	}}
	return &Service{Group: outcall.NewGroup(port.EngineClientName, c.call), client: c}
}

// Service calls engines. Requests run in the embedded group; each order runs in its own duty.
type Service struct {
	*outcall.Group
	client *client
	host   *kernel.Host
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	s.host = h
	return s.Group.Start(h)
}

// Order implements port.OrderClient. Placement has at most one outstanding order per engine, which
// bounds the number of duties.
func (s *Service) Order(o port.OrderCall, reply func(placement.Outcome, error)) {
	s.host.Go(port.EngineClientName+".order", func(ctx context.Context, _ *kernel.Duty) {
		reply(s.client.order(ctx, o))
	})
}

// client performs calls and orders. Its fields do not change after New.
type client struct {
	log      *event.Log
	outgoing *trust.Outgoing
	// dial opens a connection and completes the TLS handshake, if TLS is used.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	http *http.Client
}

// completionRequest is the JSON body of a call to an engine.
type completionRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Adapter   string          `json:"adapter,omitempty"`
	Stream    bool            `json:"stream"`
}

// call performs one call. It resumes a broken stream, cancels the call at the engine if the context
// has ended, and sends StreamFailed if there is no complete answer.
func (c *client) call(ctx context.Context, out port.Outbound, sink outcall.Sink) {
	s := &stream{sink: sink}
	err := c.attempt(ctx, s, func(ctx context.Context) (*http.Request, error) { return openRequest(ctx, out) })
	provedNotRun := err != nil && !s.admitted && provesNotRun(err)
	if err != nil && !provedNotRun {
		err, provedNotRun = c.recover(ctx, out, s, err)
	}
	if ctx.Err() != nil {
		_, _ = c.cancelAtEngine(out)
	}
	if err != nil {
		sink(port.StreamEvent{
			Kind: port.StreamFailed, PrefillTokens: s.prefillTokens, Err: err,
			NotRun: provedNotRun,
		})
	}
}

// recover resumes a broken stream on new connections, with at most maxResumes consecutive failures
// without a new token. If the engine has not answered and does not know the call, it is asked to
// refuse the call permanently; provedNotRun reports that it does, so that the call cannot run.
func (c *client) recover(ctx context.Context, out port.Outbound, s *stream, err error) (_ error, provedNotRun bool) {
	for failures := 0; err != nil && ctx.Err() == nil && s.resumable(err) && failures < maxResumes; failures++ {
		from := s.nextToken
		c.log.Emit(event.StreamResumed, out.Request.String(), out.Server.ID, from, err.Error())
		sleep(ctx, resumeDelay)
		err = c.attempt(ctx, s, func(ctx context.Context) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodGet, streamURL(out)+"?from="+strconv.Itoa(from), nil)
		})
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			// The backend server has stopped, and its answers are lost.
			return err, false
		case !s.admitted && isUnknownCall(err):
			return c.confirmNotRun(ctx, out, err)
		case s.nextToken > from:
			failures = -1
		}
	}
	return err, false
}

// isUnknownCall reports whether an engine does not know a call.
func isUnknownCall(err error) bool {
	status, ok := err.(*fault.ServerStatus)
	return ok && status.Status == http.StatusNotFound
}

// neverAdmitted is the state of a call that the engine has not admitted and will refuse.
const neverAdmitted = "never_admitted"

// confirmNotRun asks the engine to refuse a call permanently, because its request may still be in
// transit. Only the state neverAdmitted in the engine's answer proves that the call did not run.
func (c *client) confirmNotRun(ctx context.Context, out port.Outbound, err error) (_ error, provedNotRun bool) {
	for range maxResumes {
		if ctx.Err() != nil {
			break
		}
		switch state, failure := c.cancelAtEngine(out); {
		case failure != nil:
			sleep(ctx, resumeDelay)
		case state == neverAdmitted:
			return &fault.NotAdmitted{Status: http.StatusNotFound}, true
		default:
			return err, false
		}
	}
	return err, false
}

// provesNotRun reports whether the error of the first attempt proves that the engine did not
// admit the call.
func provesNotRun(err error) bool {
	if _, refused := err.(*fault.NotAdmitted); refused {
		return true
	}
	return outcall.NotConnected(err)
}

// openRequest returns the first request of a call, which starts its stream.
func openRequest(ctx context.Context, out port.Outbound) (*http.Request, error) {
	body, err := json.Marshal(completionRequest{
		Model: string(out.Call.Model), Messages: out.Call.Prompt, MaxTokens: out.Call.MaxTokens,
		Adapter: out.Call.Adapter, Stream: true,
	})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+out.Server.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", out.Request.String())
	return r, nil
}

// streamURL returns the address under which the engine resumes or cancels the call.
func streamURL(out port.Outbound) string {
	return "http://" + out.Server.Address + "/v1/streams/" + url.PathEscape(out.Request.String())
}

// attempt sends one request on a new connection and reads the stream until it ends, breaks or is
// silent for silenceTimeout.
func (c *client) attempt(ctx context.Context, s *stream, build func(context.Context) (*http.Request, error)) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watchdog := time.AfterFunc(silenceTimeout, stop)
	defer watchdog.Stop()
	request, err := build(ctx)
	if err != nil {
		return err
	}
	response, err := c.do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	s.admitted = true
	return s.read(response.Body, func() { watchdog.Reset(silenceTimeout) })
}

// do sends a request with the token of outgoing calls.
func (c *client) do(r *http.Request) (*http.Response, error) {
	c.outgoing.Authorize(r.Header)
	return c.http.Do(r)
}

// NotAdmittedHeader is the header with which an engine states that it did not run the call.
const NotAdmittedHeader = "Briaryard-Not-Admitted"

// statusError returns the failure that an answer without a stream states.
func statusError(r *http.Response) error {
	if r.Header.Get(NotAdmittedHeader) == "true" {
		return &fault.NotAdmitted{Status: r.StatusCode}
	}
	return &fault.ServerStatus{Status: r.StatusCode}
}

// cancelAtEngine asks the engine to stop a call, or to refuse one that it does not know. It returns
// the state in the engine's answer, or an empty one if the answer cannot be decoded.
func (c *client) cancelAtEngine(out port.Outbound) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(out), nil)
	if err != nil {
		return "", err
	}
	response, err := c.do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBody))
	if err != nil {
		return "", err
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", nil // an answer without a state proves nothing
	}
	return answer.State, nil
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
