package httpbackend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"briaryard/internal/clock"
	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/relay"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/service/httpbackend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	waitLimit     = 20 * time.Second
	maxEventBytes = 16 << 10
)

// noopLifecycle is the lifecycle of a service without duties.
type noopLifecycle struct{}

func (noopLifecycle) Needs() []string                 { return nil }
func (noopLifecycle) Provision(kernel.Resolver) error { return nil }
func (noopLifecycle) Start(*kernel.Host) error        { return nil }
func (noopLifecycle) Stop(context.Context) error      { return nil }

// dialect is a minimal port.Dialect with the header names that the scripted servers use.
type dialect struct {
	noopLifecycle
	// onAnswer, if set, is called when the head of an answer has been read.
	onAnswer func()
}

func (dialect) Name() string { return port.DialectName }
func (dialect) CallHeader(o *port.HTTPOutbound, _ time.Duration) []model.HeaderField {
	return []model.HeaderField{{Name: "Attempt", Value: o.Attempt}, {Name: "After", Value: o.LastEvent}}
}
func (d dialect) ReadAnswer(status int, header func(string) string) port.AnswerMetadata {
	if d.onAnswer != nil {
		d.onAnswer()
	}
	return port.AnswerMetadata{
		Attempt: header("Attempt"), NotRun: header("Not-Run") != "", Absent: status == http.StatusMisdirectedRequest,
		ClaimsNotRun: status == http.StatusServiceUnavailable, Leaving: header("Leaving") != "", HoldFor: holdFor(header("Hold")),
		Limit: limitOf(header("Limit")),
	}
}

func limitOf(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return n
}

func holdFor(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// scriptedServer is a backend server whose answers the test provides.
type scriptedServer struct {
	listener net.Listener
	conns    atomic.Int32
	requests chan *http.Request
}

// serve starts a server that calls answer for each request. The connection is closed once answer
// returns false.
func serve(t *testing.T, answer func(w net.Conn, r *http.Request, n int) bool) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: l, requests: make(chan *http.Request, 100)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		var connections sync.WaitGroup
		defer connections.Wait()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			connections.Go(func() { s.serveConn(c, answer) })
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return s
}

// serveConn answers the requests on one connection.
func (s *scriptedServer) serveConn(c net.Conn, answer func(w net.Conn, r *http.Request, n int) bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		// answer may respond before it has read the body.
		s.requests <- req
		if !answer(c, req, n) {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// backend is a running service and the events of its calls.
type backend struct {
	*httpbackend.Service
	events chan relay.CallEvent
	// notices holds what the servers have said about themselves.
	notices chan model.ServerNotice
	// evidence stands in for the quarantine service.
	evidence *evidence
	stop     func()
}

// evidence records sightings, and publishes the view that a test sets.
type evidence struct {
	noopLifecycle
	sightings chan quarantine.Sighting
	publish   func(*quarantine.View)
}

func (*evidence) Name() string { return port.QuarantineName }

func (e *evidence) Observe(s quarantine.Sighting) { e.sightings <- s }

func (e *evidence) SubscribeViews(sink func(*quarantine.View)) { e.publish = sink }

// start runs the service in a kernel of its own.
func start(t *testing.T) *backend { return startWith(t, dialect{}) }

func startWith(t *testing.T, d dialect) *backend {
	t.Helper()
	return startLogged(t, d, io.Discard)
}

func startLogged(t *testing.T, d dialect, out io.Writer) *backend {
	t.Helper()
	log, err := event.NewStream(out, "info")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{Service: httpbackend.New(log, metric.NewSet(), httpbackend.Options{MaxEventBytes: maxEventBytes}), events: make(chan relay.CallEvent, 100), notices: make(chan model.ServerNotice, 100),
		evidence: &evidence{sightings: make(chan quarantine.Sighting, 100)}}
	b.AttachCalls(func(e relay.CallEvent) { b.events <- e }, func(n model.ServerNotice) { b.notices <- n })
	k := kernel.New(func(err error) { t.Error(err) })
	for _, s := range []kernel.Service{d, b.evidence, b.Service} {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	b.stop = func() { _ = k.Stop(context.Background()) }
	return b
}

// call makes a call and returns its last event and the data that was forwarded to the caller.
func (b *backend) call(t *testing.T, address, attempt string, change func(*port.HTTPOutbound)) (relay.CallEvent, string) {
	t.Helper()
	o := port.HTTPOutbound{
		ID: model.RequestID{Instance: "i", Seq: 1}, Send: 1, Attempt: attempt,
		Server: model.BackendServer{ID: "b", Address: address},
		Call:   &model.HTTPCall{Method: "POST", Target: "/x?q=1", Host: "h.example", Body: []byte("body")},
		Until:  clock.Boot().Add(waitLimit), Events: ring.New[port.RoutedEvent]("answer", 100, ring.Block),
		Accepted: newAccepted(),
	}
	if change != nil {
		change(&o)
	}
	b.OpenCall(o)
	for {
		select {
		case e := <-b.events:
			if e.Kind == relay.CallBegan {
				accept(t, &o)
				continue
			}
			return e, forwarded(o.Events)
		case <-time.After(waitLimit):
			t.Fatal("the call does not end")
		}
	}
}

func newAccepted() *ring.Ring[struct{}] { return ring.New[struct{}]("accepted", 1, ring.Refuse) }

// accept accepts the answer of a call, as the relay does when the call has begun to be answered.
func accept(t *testing.T, o *port.HTTPOutbound) {
	t.Helper()
	if err := o.Accepted.Offer(struct{}{}); err != nil {
		t.Fatal(err)
	}
}

// forwarded returns the data in the caller's ring, followed by "END" if the answer is complete.
func forwarded(events *ring.Ring[port.RoutedEvent]) string {
	var b strings.Builder
	for e, ok := events.TryGet(); ok; e, ok = events.TryGet() {
		b.Write(e.Data)
		if e.Kind == port.RoutedEnd {
			b.WriteString("END")
		}
	}
	return b.String()
}

// reply writes an answer with a Content-Length. extra holds complete header lines.
func reply(w io.Writer, attempt, extra, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n%sContent-Length: %d\r\n\r\n%s", attempt, extra, len(body), body)
}

// stream sets that the answer may be an event stream.
func stream(o *port.HTTPOutbound) { o.Stream = true }

// events writes the header of an event stream, then each chunk in chunked encoding. An empty chunk ends
// the body.
func events(w io.Writer, attempt string, chunks ...string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt)
	for _, c := range chunks {
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(c), c)
	}
}

// Guards against an answer to another request, or a partial answer, being accepted as the answer, and
// against a failure being reported as a proof that the request did not run.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer    func(w net.Conn, r *http.Request, n int) bool
		change    func(*port.HTTPOutbound)
		kind      relay.CallKind
		forwarded string
	}{
		"whole": {answer: func(w net.Conn, _ *http.Request, _ int) bool { reply(w, "1", "", "ok"); return true }, kind: relay.CallAnswered},
		"whole without a length": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nok")
			return false
		}, kind: relay.CallAnswered},
		"reset without a length": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nok")
			time.Sleep(50 * time.Millisecond)
			_ = w.(*net.TCPConn).SetLinger(0)
			return false
		}, kind: relay.CallBroken},
		"cut": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 10\r\n\r\nhalf")
			return false
		}, kind: relay.CallBroken},
		"closed":          {answer: func(net.Conn, *http.Request, int) bool { return false }, kind: relay.CallBroken},
		"garbage":         {answer: func(w net.Conn, _ *http.Request, _ int) bool { _, _ = io.WriteString(w, "%%%\r\n\r\n"); return false }, kind: relay.CallBroken},
		"another attempt": {answer: func(w net.Conn, _ *http.Request, _ int) bool { reply(w, "0", "", "other"); return false }, kind: relay.CallBroken},
		"another attempt first": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			reply(w, "0", "", "other")
			reply(w, "1", "", "own")
			return true
		}, kind: relay.CallAnswered},
		"no attempt": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}, kind: relay.CallBroken},
		"refused with proof": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nAttempt: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}, kind: relay.CallFull},
		"refused without proof": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}, kind: relay.CallBroken},
		"another server": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 421 X\r\nAttempt: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}, kind: relay.CallAbsent},
		"stream": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			events(w, "1", "id: 1\ndata: a\n\nid: 2", "\ndata: b\n\n", "")
			return true
		}, change: stream, kind: relay.CallEnded, forwarded: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nEND"},
		"stream cut in an event": {answer: func(w net.Conn, _ *http.Request, _ int) bool { events(w, "1", "id: 1\ndata: a\n\nid: 2"); return false }, change: stream, kind: relay.CallBroken, forwarded: "id: 1\ndata: a\n\n"},
		"stream that ends in an event": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			events(w, "1", "id: 1\ndata: a\n\nid: 2", "")
			return true
		}, change: stream, kind: relay.CallBroken, forwarded: "id: 1\ndata: a\n\n"},
		"stream with a repeated event": {answer: func(w net.Conn, _ *http.Request, _ int) bool {
			events(w, "1", "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", "")
			return true
		}, change: stream, kind: relay.CallBroken, forwarded: "id: 1\ndata: a\n\n"},
		"resumed stream": {answer: func(w net.Conn, _ *http.Request, _ int) bool { events(w, "1", "id: 8\ndata: a\n\n", ""); return true },
			change: func(o *port.HTTPOutbound) { o.Stream, o.Resume, o.LastEvent = true, true, "7" }, kind: relay.CallEnded, forwarded: "id: 8\ndata: a\n\nEND"},
		"resumed stream that begins anew": {answer: func(w net.Conn, _ *http.Request, _ int) bool { events(w, "1", "id: 1\ndata: a\n\n", ""); return true },
			change: func(o *port.HTTPOutbound) { o.Stream, o.Resume, o.LastEvent = true, true, "7" }, kind: relay.CallBroken},
		"early answer to a long request": {answer: func(w net.Conn, _ *http.Request, _ int) bool { reply(w, "1", "", "early"); return true },
			change: func(o *port.HTTPOutbound) { o.Call.Body = make([]byte, 4<<20) }, kind: relay.CallAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, c.answer)
			b := start(t)
			defer b.stop()
			e, got := b.call(t, s.listener.Addr().String(), "1", c.change)
			g.Expect(e.Kind.String()).To(Equal(c.kind.String()), "%v", e.Cause)
			g.Expect(got).To(Equal(c.forwarded))
			r := <-s.requests
			g.Expect(r.RequestURI).To(Equal("/x?q=1"))
			g.Expect(r.Host).To(Equal("h.example"))
		})
	}
}

// Guards against a call whose connection is refused being reported as one that may have run.
func TestACallToNobodyIsUnsent(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	b := start(t)
	defer b.stop()
	e, _ := b.call(t, address, "1", nil)
	g.Expect(e.Kind).To(Equal(relay.CallUnsent))
}

// Guards against a new connection for each call, and against an unsolicited answer on an idle
// connection being accepted as the answer to the next request.
func TestKeptConnections(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(w net.Conn, r *http.Request, _ int) bool {
		reply(w, r.Header.Get("Attempt"), "Keep-Alive: timeout=5\r\n", "ok")
		if r.Header.Get("Attempt") == "2" {
			reply(w, "2", "", "again")
		}
		return true
	})
	b := start(t)
	defer b.stop()
	for _, attempt := range []string{"1", "2"} {
		e, _ := b.call(t, s.listener.Addr().String(), attempt, nil)
		g.Expect(e.Kind).To(Equal(relay.CallAnswered))
		// The connection becomes idle only after the last event of the call.
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(s.conns.Load()).To(Equal(int32(1)))
	e, _ := b.call(t, s.listener.Addr().String(), "3", nil)
	g.Expect(e.Kind).To(Equal(relay.CallAnswered))
	g.Expect(string(e.Answer.Body)).To(Equal("ok"))
}

// Guards against a server that continues to work on a cancelled call.
func TestACancelledCallClosesItsConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	s := serve(t, func(w net.Conn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Read(make([]byte, 1))
		close(closed)
		return false
	})
	b := start(t)
	defer b.stop()
	o := port.HTTPOutbound{
		ID: model.RequestID{Instance: "i", Seq: 1}, Send: 1, Attempt: "1", Server: model.BackendServer{ID: "b", Address: s.listener.Addr().String()},
		Call: &model.HTTPCall{Method: "GET", Target: "/", Host: "h"}, Until: clock.Boot().Add(waitLimit),
		Events: ring.New[port.RoutedEvent]("answer", 1, ring.Block),
	}
	b.OpenCall(o)
	<-s.requests
	b.CancelCall(o.ID, o.Send)
	select {
	case <-closed:
	case <-time.After(waitLimit):
		t.Fatal("the connection stays open")
	}
	g.Expect(b.events).To(BeEmpty())
}

// Guards against a caller that gets the beginning of an answer although the relay has ended its request in another
// way: a call writes nothing to the caller before the relay has accepted its answer.
func TestNothingIsForwardedBeforeTheAnswerIsAccepted(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for name, c := range map[string]struct {
		answer func(w io.Writer)
		whole  string
	}{
		"stream":    {func(w io.Writer) { events(w, "1", "id: 1\n\n", "id: 2\n\n", "") }, "id: 1\n\nid: 2\n\nEND"},
		"long body": {func(w io.Writer) { reply(w, "1", "", long) }, long + "END"},
	} {
		for _, accepted := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, accepted %v", name, accepted), func(t *testing.T) {
				g := NewWithT(t)
				closed := make(chan struct{})
				s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
					c.answer(w)
					awaitClose(w)
					close(closed)
					return false
				})
				b := start(t)
				defer b.stop()
				o := port.HTTPOutbound{
					ID: model.RequestID{Instance: "i", Seq: 1}, Send: 1, Attempt: "1", Server: model.BackendServer{ID: "b", Address: s.listener.Addr().String()},
					Call: &model.HTTPCall{Method: "GET", Target: "/", Host: "h"}, Until: clock.Boot().Add(waitLimit), Stream: true,
					Events: ring.New[port.RoutedEvent]("answer", 100, ring.Block), Accepted: newAccepted(),
				}
				b.OpenCall(o)
				g.Eventually(b.events, waitLimit).Should(Receive(HaveField("Kind", relay.CallBegan)))
				g.Consistently(func() int { return o.Events.Stats().Depth }, "200ms").Should(BeZero())
				if accepted {
					accept(t, &o)
					g.Eventually(b.events, waitLimit).Should(Receive(HaveField("Kind", relay.CallEnded)))
					g.Expect(forwarded(o.Events)).To(Equal(c.whole))
				} else {
					b.CancelCall(o.ID, o.Send)
					g.Eventually(closed, waitLimit).Should(BeClosed())
					g.Expect(o.Events.Stats().Depth).To(BeZero())
				}
			})
		}
	}
}
