package httpbackend_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/clock"
	"briaryard/internal/decide/relay"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// endless writes pieces until the connection is closed or limit bytes have been written. It returns
// the number of bytes written.
func endless(w net.Conn, piece []byte, limit int) (written int) {
	for written < limit {
		n, err := w.Write(piece)
		written += n
		if err != nil {
			break
		}
	}
	return written
}

// Guards against a call that never ends, or that uses up the memory of the instance, because its server
// sends bytes that are no answer until the connection is closed.
func TestBytesWithoutAnEndEndTheCall(t *testing.T) {
	const sent = 64 << 20
	for name, c := range map[string]struct {
		head, piece string
		change      func(*port.HTTPOutbound)
		kind        relay.CallKind
	}{
		"status line":         {piece: strings.Repeat("x", 4096), kind: relay.CallBroken},
		"header":              {head: "HTTP/1.1 200 OK\r\n", piece: "A: " + strings.Repeat("x", 1000) + "\r\n", kind: relay.CallBroken},
		"interim heads":       {piece: "HTTP/1.1 102 Processing\r\n\r\n", kind: relay.CallBroken},
		"long interim heads":  {piece: "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 20000) + "\r\n\r\n", kind: relay.CallBroken},
		"event":               {head: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\ndata: ", piece: strings.Repeat("x", 4096), change: stream, kind: relay.CallBroken},
		"body of a refusal":   {head: "HTTP/1.1 503 X\r\nAttempt: 1\r\nNot-Run: 1\r\n\r\n", piece: strings.Repeat("x", 4096), kind: relay.CallFull},
		"body of a late one":  {head: "HTTP/1.1 200 OK\r\nAttempt: 0\r\nContent-Length: 99999999\r\n\r\n", piece: strings.Repeat("x", 4096), kind: relay.CallBroken},
		"answers of another":  {piece: "HTTP/1.1 200 OK\r\nAttempt: 0\r\nContent-Length: 0\r\n\r\n", kind: relay.CallBroken},
		"failure, claimed":    {head: "HTTP/1.1 503 X\r\nAttempt: 1\r\n\r\n", piece: strings.Repeat("x", 4096), kind: relay.CallBroken},
		"header of an answer": {head: "HTTP/1.1 200 OK\r\nAttempt: 1\r\n", piece: "x", kind: relay.CallBroken},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			written := make(chan int, 1)
			s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(w, c.head)
				written <- endless(w, []byte(c.piece), sent)
				return false
			})
			b := start(t)
			defer b.stop()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			e, _ := b.call(t, s.listener.Addr().String(), "1", c.change)
			g.Expect(e.Kind.String()).To(Equal(c.kind.String()), "%v", e.Cause)
			g.Eventually(written, waitLimit).Should(Receive(BeNumerically("<", sent)), "the connection stays open")
			runtime.ReadMemStats(&after)
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 8<<20))
		})
	}
}

// Guards against a retry that waits for the body of a refusal which arrives a byte at a time, and
// against such a connection being kept for another request.
func TestARefusalCountsBeforeItsBody(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(w net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Attempt") == "2" {
			reply(w, "2", "", "ok")
			return true
		}
		_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nAttempt: 1\r\nNot-Run: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 1000\r\n\r\n")
		for {
			if _, err := w.Write([]byte("x")); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	b := start(t)
	defer b.stop()
	began := time.Now()
	e, _ := b.call(t, s.listener.Addr().String(), "1", nil)
	g.Expect(e.Kind).To(Equal(relay.CallFull))
	g.Expect(time.Since(began)).To(BeNumerically("<", waitLimit/4))
	g.Eventually(func() string {
		e, _ = b.call(t, s.listener.Addr().String(), "2", nil)
		return e.Kind.String()
	}, waitLimit).Should(Equal(relay.CallAnswered.String()))
	g.Expect(s.conns.Load()).To(BeNumerically(">=", 2), "the connection of the refusal was used again")
}

// Guards against a second copy of an answer, which arrives while the connection carries the next
// request, being given to the next caller: at the position of its answer, and in the middle of it.
func TestALateSecondCopyReachesNobody(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(w net.Conn, r *http.Request, n int) bool {
		attempt := r.Header.Get("Attempt")
		if n > 0 {
			// The copy of the previous answer goes out once the next request has arrived.
			reply(w, fmt.Sprint(n), "Keep-Alive: timeout=9\r\n", "answer "+fmt.Sprint(n))
			time.Sleep(20 * time.Millisecond)
		}
		reply(w, attempt, "Keep-Alive: timeout=9\r\n", "answer "+attempt)
		return true
	})
	b := start(t)
	defer b.stop()
	for attempt := 1; attempt <= 5; attempt++ {
		e, _ := b.call(t, s.listener.Addr().String(), fmt.Sprint(attempt), nil)
		g.Expect(e.Kind).To(Equal(relay.CallAnswered), "%v", e.Cause)
		g.Expect(string(e.Answer.Body)).To(Equal(fmt.Sprintf("answer %d", attempt)))
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(s.conns.Load()).To(Equal(int32(1)), "the copies were not met on a connection in use again")
}

// Guards against slow but sound streams being cut, and against stalled ones, which send a byte now and
// then, living on after the end of their request.
func TestSlowStreamsGoOnAndStalledOnesEndWithTheirRequest(t *testing.T) {
	g := NewWithT(t)
	const gap = 700 * time.Millisecond
	closed := make(chan struct{}, 1)
	s := serve(t, func(w net.Conn, r *http.Request, _ int) bool {
		events(w, r.Header.Get("Attempt"), "id: 1\n\n")
		if r.Header.Get("Attempt") == "1" {
			for i := 2; i <= 4; i++ {
				time.Sleep(gap)
				event := fmt.Sprintf("id: %d\n\n", i)
				_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
			}
			_, _ = io.WriteString(w, "0\r\n\r\n")
			// A server that closes here may be caught between two requests.
			return true
		}
		for {
			if _, err := io.WriteString(w, "1\r\nx\r\n"); err != nil {
				closed <- struct{}{}
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	b := start(t)
	defer b.stop()
	e, got := b.call(t, s.listener.Addr().String(), "1", stream)
	g.Expect(e.Kind).To(Equal(relay.CallEnded), "%v", e.Cause)
	g.Expect(got).To(Equal("id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\nEND"))

	o := port.HTTPOutbound{
		ID: model.RequestID{Instance: "i", Seq: 2}, Send: 1, Attempt: "2", Server: model.BackendServer{ID: "b", Address: s.listener.Addr().String()},
		Call: &model.HTTPCall{Method: "GET", Target: "/", Host: "h"}, Until: clock.Boot().Add(waitLimit), Stream: true,
		Events: ring.New[port.RoutedEvent]("answer", 100, ring.Block), Accepted: newAccepted(),
	}
	b.OpenCall(o)
	g.Eventually(b.events, waitLimit).Should(Receive(HaveField("Kind", relay.CallBegan)))
	accept(t, &o)
	// The relay cancels a call whose time is over.
	b.CancelCall(o.ID, o.Send)
	g.Eventually(closed, waitLimit).Should(Receive())
	g.Expect(bytes.Count([]byte(forwarded(o.Events)), []byte("x"))).To(BeZero(), "bytes of an incomplete event were forwarded")
}

// Guards against an instance that runs out of memory because faulty servers send answers without an end to many
// callers that read slowly. The smallest instances have 112 MB, and 0.7 of that for the heap; all slots of eight
// engines at one instance may take half of it.
func TestAnswersWithoutAnEndAreBoundedTogether(t *testing.T) {
	const (
		calls     = 8 * 8
		heapBytes = 112 << 20 * 7 / 10 / 2
	)
	for name, c := range map[string]struct {
		head, piece string
		change      func(*port.HTTPOutbound)
	}{
		"body":               {head: "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n", piece: strings.Repeat("x", 4096)},
		"body with a length": {head: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 99999999999\r\n\r\n", piece: strings.Repeat("x", 4096)},
		"failure":            {head: "HTTP/1.1 500 X\r\nAttempt: 1\r\n\r\n", piece: strings.Repeat("x", 4096)},
		"small events":       {head: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\n", piece: strings.Repeat("data: x\n\n", 400), change: stream},
		"large events":       {head: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\n", piece: "data: " + strings.Repeat("x", 16000) + "\n\n", change: stream},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(w, c.head)
				endless(w, []byte(c.piece), 1<<40)
				return false
			})
			b := start(t)
			defer b.stop()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			outbound := make([]port.HTTPOutbound, calls)
			for n := range outbound {
				// The capacity is that of a front end.
				outbound[n] = port.HTTPOutbound{
					ID: model.RequestID{Instance: "i", Seq: uint64(n)}, Send: 1, Attempt: "1", Server: model.BackendServer{ID: "b", Address: s.listener.Addr().String()},
					Call: &model.HTTPCall{Method: "GET", Target: "/", Host: "h"}, Until: clock.Boot().Add(waitLimit), Events: ring.New[port.RoutedEvent]("answer", 32, ring.Block),
					Accepted: newAccepted(),
				}
				if c.change != nil {
					c.change(&outbound[n])
				}
				b.OpenCall(outbound[n])
			}
			for began := 0; began < calls; {
				var e relay.CallEvent
				g.Eventually(b.events, waitLimit).Should(Receive(&e))
				if e.Kind == relay.CallUnsent {
					// The time to open a connection is short on a busy machine; the relay would try again, too.
					t.Logf("call %d was not sent: %v", e.ID.Seq, e.Cause)
					outbound[e.ID.Seq].Send++
					b.OpenCall(outbound[e.ID.Seq])
					continue
				}
				g.Expect(e.Kind).To(Equal(relay.CallBegan), "%v", e.Cause)
				began++
			}
			for n := range outbound {
				accept(t, &outbound[n])
				g.Eventually(func() int { return outbound[n].Events.Stats().Depth }, waitLimit).Should(Equal(32))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			t.Logf("%.1f MB for %d answers", float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), calls)
			g.Expect(after.HeapAlloc - before.HeapAlloc).To(BeNumerically("<", heapBytes))
			for n := range outbound {
				b.CancelCall(outbound[n].ID, outbound[n].Send)
			}
		})
	}
}
