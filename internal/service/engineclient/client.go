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
	"briaryard/internal/kernel"
	"briaryard/internal/outcall"
	"briaryard/internal/port"
	"briaryard/internal/trust"
)

const (
	dialTimeout = 2 * time.Second
	// silence is how long a stream may carry neither a token nor a keep-alive, which
	// engines send every second.
	silence = 3 * time.Second
	// maxResumes bounds the new connections for one stream without progress.
	maxResumes = 5
	// resumePause keeps resumes of a dead engine from following each other at once.
	resumePause = 200 * time.Millisecond
	// cancelTimeout bounds the request that cancels work at the engine.
	cancelTimeout = 3 * time.Second
	// maxState bounds the answer to that request.
	maxState = 4096
)

// New returns the service. The calls are secured as outgoing says.
func New(log *event.Log, outgoing *trust.Outgoing) *Service {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	c := &client{log: log, outgoing: outgoing, dial: outgoing.Dial(dial), http: &http.Client{
		Transport:     outgoing.Transport(&http.Transport{DialContext: dial, DisableKeepAlives: true}),
		CheckRedirect: trust.NoRedirects,
	}}
	return &Service{Group: outcall.NewGroup(port.EngineClientName, c.call), client: c}
}

// Service calls engines: requests through its group, orders each in a duty of its own.
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

// Order implements port.OrderClient. Placement bounds the number of orders: one per engine.
func (s *Service) Order(o port.OrderCall, reply func(placement.Outcome, error)) {
	s.host.Go(port.EngineClientName+".order", func(ctx context.Context, _ *kernel.Duty) {
		reply(s.client.order(ctx, o))
	})
}

type client struct {
	log      *event.Log
	outgoing *trust.Outgoing
	// dial opens a connection that is ready for a request, after the TLS handshake if any.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	http *http.Client
}

// completionRequest is the body of a call to an engine.
type completionRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Adapter   string          `json:"adapter,omitempty"`
	Stream    bool            `json:"stream"`
}

// call performs one call and resumes its stream as long as it makes progress.
func (c *client) call(ctx context.Context, out port.Outbound, sink outcall.Sink) {
	s := &stream{sink: sink}
	err := c.attempt(ctx, s, func(ctx context.Context) (*http.Request, error) { return openRequest(ctx, out) })
	proved := err != nil && !s.admitted && notRun(err)
	if err != nil && !proved {
		err, proved = c.recover(ctx, out, s, err)
	}
	if ctx.Err() != nil {
		_, _ = c.remove(out)
	}
	if err != nil {
		sink(port.StreamEvent{
			Kind: port.StreamFailed, PrefillTokens: s.prefill, Err: err,
			NotRun: proved,
		})
	}
}

// recover resumes a broken stream on new connections as long as it makes progress. An
// engine that does not know a call that it has not answered is asked to refuse it for good;
// proved reports that it did so, hence that the call did not run.
func (c *client) recover(ctx context.Context, out port.Outbound, s *stream, err error) (_ error, proved bool) {
	for failures := 0; err != nil && ctx.Err() == nil && s.resumable(err) && failures < maxResumes; failures++ {
		next := s.next
		c.log.Emit(event.StreamResumed, out.Request.String(), out.Server.ID, next, err.Error())
		pause(ctx, resumePause)
		err = c.attempt(ctx, s, func(ctx context.Context) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodGet, streamURL(out)+"?from="+strconv.Itoa(next), nil)
		})
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			// The backend server is dead, and its answers with it.
			return err, false
		case !s.admitted && isUnknown(err):
			return c.settle(ctx, out, err)
		case s.next > next:
			failures = -1
		}
	}
	return err, false
}

// isUnknown reports whether an engine does not know a call.
func isUnknown(err error) bool {
	status, ok := err.(*fault.ServerStatus)
	return ok && status.Status == http.StatusNotFound
}

// neverAdmitted is the state of a call that the engine refuses from then on.
const neverAdmitted = "never_admitted"

// settle asks the engine to refuse a call for good, as its request may still be on the way.
// Only the engine's word that it never admitted the call proves that it did not run.
func (c *client) settle(ctx context.Context, out port.Outbound, err error) (_ error, proved bool) {
	for range maxResumes {
		if ctx.Err() != nil {
			break
		}
		switch state, failure := c.remove(out); {
		case failure != nil:
			pause(ctx, resumePause)
		case state == neverAdmitted:
			return &fault.NotAdmitted{Status: http.StatusNotFound}, true
		default:
			return err, false
		}
	}
	return err, false
}

// notRun reports whether a failure of the first attempt proves that the engine did not
// admit the call.
func notRun(err error) bool {
	if _, refused := err.(*fault.NotAdmitted); refused {
		return true
	}
	return outcall.NotConnected(err)
}

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

func streamURL(out port.Outbound) string {
	return "http://" + out.Server.Address + "/v1/streams/" + url.PathEscape(out.Request.String())
}

// attempt reads one connection until the stream ends, breaks or goes silent.
func (c *client) attempt(ctx context.Context, s *stream, build func(context.Context) (*http.Request, error)) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watchdog := time.AfterFunc(silence, stop)
	defer watchdog.Stop()
	request, err := build(ctx)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	s.admitted = true
	return s.read(response.Body, func() { watchdog.Reset(silence) })
}

// NotAdmittedHeader is set by an engine on an answer that says that it did not run the call.
const NotAdmittedHeader = "Briaryard-Not-Admitted"

func statusError(r *http.Response) error {
	if r.Header.Get(NotAdmittedHeader) == "true" {
		return &fault.NotAdmitted{Status: r.StatusCode}
	}
	return &fault.ServerStatus{Status: r.StatusCode}
}

// remove asks the engine to stop a call, or to refuse one that it does not know, and
// returns the state that the engine states.
func (c *client) remove(out port.Outbound) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(out), nil)
	if err != nil {
		return "", err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&answer); err != nil {
		return "", nil // an engine that states nothing proves nothing
	}
	return answer.State, nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
