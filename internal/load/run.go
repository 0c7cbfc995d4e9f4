package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"briaryard/internal/fault"
	"briaryard/internal/trust"
)

// Options configure a run.
type Options struct {
	// Addresses are the caller addresses of instances from which the address list is requested.
	Addresses []string
	// Domain is the failure domain that callers state when they request the address list.
	Domain   string
	Mix      Mix
	Seed     uint64
	Rate     float64
	Duration time.Duration
	// Tokens are the teams' tokens by team name, if the fleet requires them. Callers holds the
	// TLS settings and token for calls to the instances, Backends those for calls to the
	// stand-ins in Executions; nil means plain HTTP.
	Tokens            map[string]string
	Callers, Backends *trust.Outgoing
	// Executions are the addresses of stand-in backend servers that report their executions.
	Executions []string
	// MaxInFlight bounds the requests in flight; zero means 4000.
	MaxInFlight int
}

const (
	// maxRefusals bounds the refused attempts of one request.
	maxRefusals = 8
	// maxBrokenConnections bounds the consecutive attempts whose connection fails; after them
	// the request is lost. Refusals are counted separately: a caller whose connection breaks
	// after seven refusals does not know whether its request ran and has to retry.
	maxBrokenConnections = 8
	// resendInterval is the interval at which an impatient caller resends its request.
	resendInterval = 10 * time.Millisecond
	// deadlineGrace is added to a request's deadline to get the timeout of an attempt. An answer
	// that began in time is not cut off, so it can end after the deadline.
	deadlineGrace = 15 * time.Second
	dialTimeout   = 2 * time.Second
	retryPause    = 100 * time.Millisecond
	maxInFlight   = 4000
)

// runner holds the state of one run.
type runner struct {
	options Options
	client  *http.Client
	// standinClient requests the execution counts of the stand-ins.
	standinClient *http.Client
	addresses     *addressCache
	checker       *checker
	// inFlight holds one element for each request in flight.
	inFlight chan struct{}
}

// Run sends the requests of a mix and checks their answers. It accepts loopback addresses only.
func Run(ctx context.Context, o Options) (*Report, error) {
	for _, address := range append(append([]string(nil), o.Addresses...), o.Executions...) {
		host, _, err := net.SplitHostPort(address)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return nil, &fault.InvalidSetting{Setting: "--addresses", Reason: "want loopback addresses (host:port)"}
		}
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = maxInFlight
	}
	token, err := o.anyToken()
	if err != nil {
		return nil, err
	}
	client := newClient(o.Callers)
	r := &runner{
		options: o, client: client, standinClient: newClient(o.Backends), checker: newChecker(),
		addresses: &addressCache{seeds: o.Addresses, failureDomain: o.Domain, client: client, token: token},
		inFlight:  make(chan struct{}, o.MaxInFlight),
	}
	r.sendArrivals(ctx)
	client.CloseIdleConnections()
	executions, err := r.executions(ctx)
	r.standinClient.CloseIdleConnections()
	if err != nil {
		return nil, err
	}
	return r.checker.report(o, executions), nil
}

func newClient(outgoing *trust.Outgoing) *http.Client {
	return &http.Client{CheckRedirect: trust.NoRedirects, Transport: outgoing.Transport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
	})}
}

// anyToken returns a team's token for requests of the address list, which belong to no team. If
// there are tokens, every team of the mix needs one.
func (o *Options) anyToken() (token string, err error) {
	if len(o.Tokens) == 0 {
		return "", nil
	}
	for i := range o.Mix.Classes {
		team := o.Mix.Classes[i].Team
		if token = o.Tokens[team]; token == "" {
			return "", &fault.InvalidSetting{Setting: "--caller-tokens-file", Reason: "has no token of team " + team}
		}
	}
	return token, nil
}

// sendArrivals starts a caller for every arrival at its time and waits until all have ended. An
// arrival above MaxInFlight is not sent.
func (r *runner) sendArrivals(ctx context.Context) {
	var open sync.WaitGroup
	began := time.Now()
	for _, a := range schedule(r.options.Mix, r.options.Seed, r.options.Rate, r.options.Duration) {
		if !waitUntil(ctx, began.Add(a.at)) {
			break
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.checker.recordNotSent(&a)
			continue
		}
		open.Go(func() {
			defer func() { <-r.inFlight }()
			r.runCaller(ctx, &a)
		})
	}
	open.Wait()
}

// waitUntil blocks until a time; it returns false if the context ends first.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runCaller sends the request of one caller and retries until it has a final answer, its
// deadline has passed or its retries are used up. After a broken connection the caller does not
// know whether the request ran, so it retries even after the deadline. An attempt times out
// deadlineGrace after the deadline that it states, by which time the fleet must have answered.
func (r *runner) runCaller(ctx context.Context, a *arrival) {
	began := time.Now()
	answered, stop := context.WithCancel(ctx)
	defer stop()
	if a.class.Impatient {
		go r.resend(answered, a)
	}
	var last attempt
	var state retryState
	for n := 0; ; n++ {
		last = r.sendAttempt(ctx, a)
		r.checker.recordAttempt(a, last, n)
		state.history = append(state.history, last.String())
		late := time.Since(began) > a.class.Deadline && last.outcome != broken
		if isFinal(last) || late || ctx.Err() != nil {
			break
		}
		pause, retry := state.next(last.outcome)
		if !retry || !waitUntil(ctx, time.Now().Add(pause)) {
			break
		}
	}
	r.checker.recordResult(a, last, time.Since(began), state.history)
}

// retryState counts the attempts of one request that ended without an answer.
type retryState struct {
	refused, broken int
	// history describes each attempt, for the report of a lost request.
	history []string
}

// next counts an attempt and returns the pause before the next one, which doubles each time, and
// whether another attempt is allowed.
func (t *retryState) next(o outcome) (pause time.Duration, retry bool) {
	if o == broken {
		t.broken++
		return retryPause << (t.broken - 1), t.broken < maxBrokenConnections
	}
	t.refused++
	t.broken = 0
	return retryPause << (t.refused - 1), t.refused < maxRefusals
}

// sendAttempt sends one attempt to the next address of the list.
func (r *runner) sendAttempt(ctx context.Context, a *arrival) attempt {
	ctx, cancel := context.WithTimeout(ctx, a.class.Deadline+deadlineGrace)
	defer cancel()
	return r.call(ctx, a, r.addresses.pick(ctx))
}

// isFinal reports whether the caller must not retry: it has an answer, or a refusal that does
// not guarantee that the request did not run or that a retry cannot change.
func isFinal(a attempt) bool {
	switch a.outcome {
	case complete, cut, mixed:
		return true
	case refused:
		return a.problem.RunState != "not_run" || a.problem.Status < 500 && a.problem.Status != http.StatusTooManyRequests
	case broken:
	}
	return false
}

// resend sends the same keyed request up to three more times while the first one is open, as the
// software of a partner does that retries without waiting for the answer.
func (r *runner) resend(ctx context.Context, a *arrival) {
	for range 3 {
		if !waitUntil(ctx, time.Now().Add(resendInterval)) {
			return
		}
		extra := r.call(ctx, a, r.addresses.pick(ctx))
		if ctx.Err() != nil {
			// The caller has its answer and has closed this connection itself.
			return
		}
		r.checker.recordExtra(a, extra)
		if extra.outcome == complete {
			return
		}
	}
}
