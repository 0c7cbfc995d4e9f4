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

// Options describe a run.
type Options struct {
	// Addresses are the instances to ask for the list of addresses.
	Addresses []string
	// Domain is the failure domain that the callers say they are in.
	Domain   string
	Mix      Mix
	Seed     uint64
	Rate     float64
	Duration time.Duration
	// Tokens are the teams' tokens, if the fleet asks for them, and Callers secures the calls to
	// the instances. Backends secures those to the stand-ins in Executions. Nil leaves them plain.
	Tokens            map[string]string
	Callers, Backends *trust.Outgoing
	// Executions are the addresses of stand-in backend servers that report what they ran.
	Executions []string
	// MaxInFlight bounds the open requests.
	MaxInFlight int
}

const (
	// maxAttempts bounds the attempts of one request that are refused.
	maxAttempts = 8
	// maxBroken bounds the attempts in a row whose connection failed; after them the request
	// is lost. It is counted apart from the refusals: a caller that was refused seven times and
	// then met a killed instance knows nothing of its request and has to ask again.
	maxBroken = 8
	// impatience is the pause after which an impatient caller sends its request again.
	impatience = 10 * time.Millisecond
	// grace is added to a request's deadline before the caller gives up on a connection. An
	// answer that began in time is not cut off, so it can end later than its deadline.
	grace       = 15 * time.Second
	dialTimeout = 2 * time.Second
	retryPause  = 100 * time.Millisecond
	maxInFlight = 4000
)

// runner carries out one run.
type runner struct {
	options Options
	client  *http.Client
	// standins calls the stand-ins for their counts.
	standins *http.Client
	book     *addressBook
	judge    *judge
	slots    chan struct{}
}

// Run carries out a run and judges it. It accepts loopback addresses only.
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
		options: o, client: client, standins: newClient(o.Backends), judge: newJudge(),
		book:  &addressBook{seeds: o.Addresses, domain: o.Domain, client: client, token: token},
		slots: make(chan struct{}, o.MaxInFlight),
	}
	r.generate(ctx)
	client.CloseIdleConnections()
	executions, err := r.executions(ctx)
	r.standins.CloseIdleConnections()
	if err != nil {
		return nil, err
	}
	return r.judge.report(o, executions), nil
}

func newClient(outgoing *trust.Outgoing) *http.Client {
	return &http.Client{CheckRedirect: trust.NoRedirects, Transport: outgoing.Transport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
	})}
}

// anyToken returns the token for calls that belong to no team. Either each team of the mix has a
// token or none has.
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

// generate sends every arrival at its time and waits for the last answer.
func (r *runner) generate(ctx context.Context) {
	var open sync.WaitGroup
	began := time.Now()
	for _, a := range schedule(r.options.Mix, r.options.Seed, r.options.Rate, r.options.Duration) {
		if !waitUntil(ctx, began.Add(a.at)) {
			break
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.judge.notSent(&a)
			continue
		}
		open.Go(func() {
			defer func() { <-r.slots }()
			r.serve(ctx, &a)
		})
	}
	open.Wait()
}

// waitUntil parks until a time; it returns false when the context ends first.
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

// serve is one caller: it sends its request and retries as its class says, until its
// deadline has passed. A broken connection tells it nothing, so it always tries again after
// one. Each attempt is given up only well after the deadline that it states,
// by which time a fleet has to have answered.
func (r *runner) serve(ctx context.Context, a *arrival) {
	began := time.Now()
	answered, stop := context.WithCancel(ctx)
	defer stop()
	if a.class.Impatient {
		go r.pester(answered, a)
	}
	var last attempt
	var tries retries
	for n := 0; ; n++ {
		last = r.try(ctx, a)
		r.judge.attempt(a, last, n)
		tries.history = append(tries.history, last.String())
		late := time.Since(began) > a.class.Deadline && last.outcome != broken
		if done(last) || late || ctx.Err() != nil {
			break
		}
		pause, again := tries.next(last.outcome)
		if !again || !waitUntil(ctx, time.Now().Add(pause)) {
			break
		}
	}
	r.judge.final(a, last, time.Since(began), tries.history)
}

// retries counts the attempts of one request that did not bring its answer.
type retries struct {
	refused, broken int
	// history describes each attempt, for the report of a lost request.
	history []string
}

// next counts an attempt and returns the pause before the next one, if there is to be one.
func (t *retries) next(o outcome) (pause time.Duration, again bool) {
	if o == broken {
		t.broken++
		return retryPause << (t.broken - 1), t.broken < maxBroken
	}
	t.refused++
	t.broken = 0
	return retryPause << (t.refused - 1), t.refused < maxAttempts
}

func (r *runner) try(ctx context.Context, a *arrival) attempt {
	ctx, cancel := context.WithTimeout(ctx, a.class.Deadline+grace)
	defer cancel()
	return r.call(ctx, a, r.book.pick(ctx))
}

// done reports whether the caller stops: it has its answer, or a refusal that it cannot
// better by trying again.
func done(a attempt) bool {
	switch a.outcome {
	case whole, cut, mixed:
		return true
	case refused:
		return a.problem.RunState != "not_run" || a.problem.Status < 500 && a.problem.Status != http.StatusTooManyRequests
	case broken:
	}
	return false
}

// pester sends the same keyed request again and again while the caller waits, as a
// partner's software does that retries without pause.
func (r *runner) pester(ctx context.Context, a *arrival) {
	for range 3 {
		if !waitUntil(ctx, time.Now().Add(impatience)) {
			return
		}
		extra := r.call(ctx, a, r.book.pick(ctx))
		if ctx.Err() != nil {
			// The caller has its answer and has closed this connection itself.
			return
		}
		r.judge.extra(a, extra)
		if extra.outcome == whole {
			return
		}
	}
}
