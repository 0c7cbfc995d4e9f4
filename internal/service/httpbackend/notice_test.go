package httpbackend_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/clock"
	"briaryard/internal/decide/relay"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// Guards against a server's word about itself that is lost with the kind of its answer.
func TestTheWordOfAServerIsPassedOnWithEachAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   model.ServerNotice
		change func(*port.HTTPOutbound)
	}{
		"success":        {answer: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", want: model.ServerNotice{Leaving: true}},
		"failure":        {answer: "HTTP/1.1 500 X\r\nAttempt: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", want: model.ServerNotice{Leaving: true}},
		"refusal":        {answer: "HTTP/1.1 503 X\r\nAttempt: 1\r\nNot-Run: 1\r\nHold: 2s\r\nContent-Length: 0\r\n\r\n", want: model.ServerNotice{HoldFor: 2 * time.Second}},
		"no proof":       {answer: "HTTP/1.1 503 X\r\nAttempt: 1\r\nHold: 2s\r\nContent-Length: 0\r\n\r\n", want: model.ServerNotice{HoldFor: 2 * time.Second}},
		"another answer": {answer: "HTTP/1.1 200 OK\r\nAttempt: 0\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", want: model.ServerNotice{Leaving: true}},
		"head of a stream": {answer: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\n",
			want: model.ServerNotice{Leaving: true}, change: stream},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool { _, _ = io.WriteString(w, c.answer); return false })
			b := start(t)
			defer b.stop()
			b.call(t, s.listener.Addr().String(), "1", c.change)
			// The notice came before the last event of the call.
			g.Expect(b.notices).To(Receive(Equal(model.ServerNotice{Server: "b", Leaving: c.want.Leaving, HoldFor: c.want.HoldFor})))
		})
	}
}

// Guards against the word of a leaving server that counts only at the end of its stream.
func TestTheWordOfAServerCountsAtTheHeadOfItsStream(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n\r\n")
		awaitClose(w)
		return false
	})
	b := start(t)
	defer b.stop()
	b.OpenCall(port.HTTPOutbound{
		ID: model.RequestID{Instance: "i", Seq: 1}, Send: 1, Attempt: "1", Server: model.BackendServer{ID: "b", Address: s.listener.Addr().String()},
		Call: &model.HTTPCall{Method: "GET", Target: "/", Host: "h"}, Until: clock.Boot().Add(waitLimit), Stream: true,
		Events: ring.New[port.RoutedEvent]("answer", 1, ring.Block),
	})
	g.Eventually(b.notices, waitLimit).Should(Receive(HaveField("Leaving", true)))
	g.Expect(b.events).To(BeEmpty(), "the stream has not ended")
}

// Guards against a granted request that is sent although its server has meanwhile said that it wants none:
// it must be returned as unsent. Another incarnation under the same id is not held back.
func TestACallToABarredServerIsReturned(t *testing.T) {
	for name, word := range map[string]string{"leaving": "Leaving: 1\r\n", "hold": "Hold: 10m\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, r *http.Request, _ int) bool {
				_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nAttempt: "+r.Header.Get("Attempt")+"\r\nNot-Run: 1\r\n"+word+"Content-Length: 0\r\n\r\n")
				return true
			})
			b := start(t)
			defer b.stop()
			e, _ := b.call(t, s.listener.Addr().String(), "1", nil)
			g.Expect(e.Kind).To(Equal(relay.CallFull))
			g.Expect(s.requests).To(Receive())
			e, _ = b.call(t, s.listener.Addr().String(), "2", nil)
			g.Expect(e.Kind).To(Equal(relay.CallReturned))
			g.Consistently(s.requests, 50*time.Millisecond).ShouldNot(Receive(), "the server got the request")
			e, _ = b.call(t, s.listener.Addr().String(), "3", func(o *port.HTTPOutbound) { o.Server.Incarnation = 2 })
			g.Expect(e.Kind).To(Equal(relay.CallFull), "another incarnation")
		})
	}
}

// awaitClose waits until the other side closes the connection.
func awaitClose(w net.Conn) { _, _ = w.Read(make([]byte, 1)) }

// Guards against the word of a server that is lost because its caller leaves while the answer is read.
func TestTheWordOfAServerCountsAfterTheCallerHasLeft(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
		reply(w, "1", "Leaving: 1\r\n", "ok")
		awaitClose(w)
		close(closed)
		return false
	})
	o := port.HTTPOutbound{
		ID: model.RequestID{Instance: "i", Seq: 1}, Send: 1, Attempt: "1", Server: model.BackendServer{ID: "b", Address: s.listener.Addr().String()},
		Call: &model.HTTPCall{Method: "GET", Target: "/", Host: "h"}, Until: clock.Boot().Add(waitLimit),
		Events: ring.New[port.RoutedEvent]("answer", 1, ring.Block),
	}
	var b *backend
	b = startWith(t, dialect{onAnswer: func() {
		// The call is cancelled between the head and the word in it.
		b.CancelCall(o.ID, o.Send)
		select {
		case <-closed:
		case <-time.After(waitLimit):
			t.Error("the cancelled call keeps its connection")
		}
	}})
	defer b.stop()
	b.OpenCall(o)
	g.Eventually(b.notices, waitLimit).Should(Receive(HaveField("Leaving", true)))
	g.Expect(b.events).To(BeEmpty())
}

// Guards against a limit that is not read, or that stays after the server has stopped naming it: it counts
// with the head of each answer, and ends with the first answer without one to a request that was sent later.
func TestTheLimitOfAServerIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(w net.Conn, r *http.Request, _ int) bool {
		attempt := r.Header.Get("Attempt")
		if attempt == "2" {
			// A late answer to another request says nothing of the limit.
			reply(w, "0", "Limit: 9\r\n", "late")
		}
		reply(w, attempt, map[string]string{"1": "Limit: 2.5\r\n", "2": "Limit: 1\r\n"}[attempt], "ok")
		return true
	})
	b := start(t)
	defer b.stop()
	for attempt, want := range []model.ServerNotice{{Limit: 2.5}, {Limit: 1}, {LimitEnded: true}} {
		b.call(t, s.listener.Addr().String(), strconv.Itoa(attempt+1), nil)
		var got model.ServerNotice
		g.Eventually(b.notices, waitLimit).Should(Receive(&got))
		g.Expect(got.SentAt.IsZero()).To(Equal(!want.LimitEnded))
		got.SentAt = time.Time{}
		want.Server = "b"
		g.Expect(got).To(Equal(want))
		// The duty of the service has applied the notice once it has handled the end of the call.
		time.Sleep(20 * time.Millisecond)
	}
	b.call(t, s.listener.Addr().String(), "4", nil)
	g.Expect(b.notices).To(BeEmpty())
}
