package httpbackend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/relay"
	"briaryard/internal/port"
)

// Guards against a refusal of an earlier request that its server writes once more on a kept connection: the
// caller of the next request would be told that it has not run, or it would run a second time elsewhere.
func TestAnEarlierRefusalRefusesNothingElse(t *testing.T) {
	refusal := func(head string) string {
		return "HTTP/1.1 503 X\r\nNot-Run: 1\r\n" + head + "Content-Length: 2\r\n\r\nno"
	}
	for name, c := range map[string]struct {
		again string
		times int
		want  relay.CallKind
	}{
		"with its name":         {again: refusal("Attempt: 1\r\n"), times: 1, want: relay.CallAnswered},
		"without a name":        {again: refusal(""), times: 1, want: relay.CallAnswered},
		"twice":                 {again: refusal("Attempt: 1\r\n"), times: 2, want: relay.CallAnswered},
		"time after time":       {again: refusal("Attempt: 1\r\n"), times: 20, want: relay.CallBroken},
		"as another server":     {again: "HTTP/1.1 421 X\r\nNot-Run: 1\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n", times: 1, want: relay.CallAnswered},
		"and nothing after it":  {again: refusal("Attempt: 1\r\n"), times: 0, want: relay.CallBroken},
		"with an empty name":    {again: refusal("Attempt: \r\n"), times: 1, want: relay.CallAnswered},
		"in place of an answer": {again: refusal("Attempt: 1\r\n"), times: -1, want: relay.CallBroken},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, r *http.Request, n int) bool {
				if n == 0 {
					_, _ = io.WriteString(w, refusal("Attempt: "+r.Header.Get("Attempt")+"\r\n"))
					return true
				}
				_, _ = io.WriteString(w, strings.Repeat(c.again, max(c.times, -c.times)))
				if c.times > 0 {
					reply(w, r.Header.Get("Attempt"), "", "ok")
				}
				return false
			})
			b := start(t)
			defer b.stop()
			e, _ := b.call(t, s.listener.Addr().String(), "1", nil)
			g.Expect(e.Kind).To(Equal(relay.CallFull))
			// A call that begins before a connection is back among the idle ones opens another one, whose first
			// answer is a refusal as well.
			for n, known := 2, s.conns.Load(); ; n++ {
				e, _ = b.call(t, s.listener.Addr().String(), strconv.Itoa(n), nil)
				if s.conns.Load() == known {
					break
				}
				g.Expect(e.Kind).To(Equal(relay.CallFull))
				g.Expect(n).To(BeNumerically("<", 100), "no connection is kept")
				known = s.conns.Load()
			}
			g.Expect(e.Kind).To(Equal(c.want), "%v", e.Cause)
		})
	}
}

// Guards against an error of the next server in the middle of a stream that goes on there, and against a
// stream that then ends as if it were complete.
func TestAnErrorDoesNotContinueAStream(t *testing.T) {
	head := "Attempt: 1\r\nContent-Type: text/event-stream\r\n"
	for name, answer := range map[string]string{
		"failure":                  "HTTP/1.1 500 X\r\nAttempt: 1\r\nContent-Length: 5\r\n\r\nerror",
		"failure with events":      "HTTP/1.1 500 X\r\n" + head + "\r\nid: 8\ndata: error\n\n",
		"not found":                "HTTP/1.1 404 X\r\nAttempt: 1\r\nContent-Length: 5\r\n\r\nerror",
		"refusal":                  "HTTP/1.1 503 X\r\nAttempt: 1\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\nerror",
		"refusal without proof":    "HTTP/1.1 503 X\r\nAttempt: 1\r\nContent-Length: 5\r\n\r\nerror",
		"success that is no event": "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 5\r\n\r\nerror",
		"no content":               "HTTP/1.1 204 OK\r\nAttempt: 1\r\n\r\n",
		"empty stream":             "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n",
		"error as an event":        "HTTP/1.1 200 OK\r\n" + head + "\r\ndata: error\n\n",
		"error before an event":    "HTTP/1.1 200 OK\r\n" + head + "\r\nerror\n\nid: 8\n\n",
		"a head once more":         "HTTP/1.1 200 OK\r\n" + head + "\r\nHTTP/1.1 500 X\r\nAttempt: 1\r\n\r\nerror",
		"from the beginning":       "HTTP/1.1 200 OK\r\n" + head + "\r\nid: 1\n\nid: 2\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool { _, _ = io.WriteString(w, answer); return false })
			b := start(t)
			defer b.stop()
			e, data := b.call(t, s.listener.Addr().String(), "1", func(o *port.HTTPOutbound) {
				stream(o)
				o.Resume, o.LastEvent = true, "7"
			})
			g.Expect(e.Kind).To(Or(Equal(relay.CallBroken), Equal(relay.CallFull)))
			g.Expect(data).To(BeEmpty())
		})
	}
}

// Guards against an answer whose head was cut off being taken for a whole one.
func TestACutHeadIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"body":       "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
		"no framing": "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n",
		"stream":     "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"refusal":    "HTTP/1.1 503 X\r\nAttempt: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := start(t)
			defer b.stop()
			for cut := range len(answer) - 1 {
				s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool { _, _ = io.WriteString(w, answer[:cut]); return false })
				e, data := b.call(t, s.listener.Addr().String(), "1", stream)
				g.Expect(e.Kind).To(Equal(relay.CallBroken), "cut after %q", answer[:cut])
				g.Expect(data).To(BeEmpty())
			}
		})
	}
}

// Guards against a stream without a length that is cut off and taken for complete: it has been broken off if
// it ends inside an event, at whatever byte, or is reset.
func TestAStreamWithoutALengthEndsWithAnEvent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\n"
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: bb\n\n"}
	body := strings.Join(events, "")
	g := NewWithT(t)
	b := start(t)
	defer b.stop()
	for cut := 1; cut <= len(body); cut++ {
		for _, reset := range []bool{false, true} {
			s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(w, head+body[:cut])
				if reset {
					_ = w.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			e, data := b.call(t, s.listener.Addr().String(), "1", stream)
			whole := cut == len(body) || cut == len(events[0])
			switch {
			case whole && !reset:
				g.Expect(e.Kind).To(Equal(relay.CallEnded), "cut after %d bytes", cut)
				g.Expect(data).To(Equal(body[:cut] + "END"))
			default:
				g.Expect(e.Kind).To(Equal(relay.CallBroken), "cut after %d bytes, reset %v", cut, reset)
				g.Expect(data).NotTo(ContainSubstring("END"))
				g.Expect(body).To(HavePrefix(data), fmt.Sprint("only whole events: ", data))
			}
		}
	}
}
