package httpbackend_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/relay"
	"briaryard/internal/port"
)

const (
	plainHead  = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\n"
	streamHead = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\n"
)

// upload makes the request so long that its server answers while it is still being written.
func upload(o *port.HTTPOutbound) {
	call := *o.Call
	call.Body = bytes.Repeat([]byte("x"), 8<<20)
	o.Call, o.Stream = &call, true
}

// reset makes the server's close a reset, whatever has been read.
func reset(w net.Conn) { _ = w.(*net.TCPConn).SetLinger(0) }

// Guards against a part of an answer without a length that is taken for a whole one because its server resets the
// connection while the request is still being written.
func TestAnAnswerResetDuringItsRequestIsNotComplete(t *testing.T) {
	const tries = 20
	for name, c := range map[string]struct {
		answer string
		read   int64
		pause  time.Duration
	}{
		"nothing read":       {answer: plainHead + strings.Repeat("y", 900)},
		"some read":          {answer: plainHead + strings.Repeat("y", 900), read: 200 << 10, pause: 2 * time.Millisecond},
		"late":               {answer: plainHead + strings.Repeat("y", 900), read: 64 << 10, pause: 20 * time.Millisecond},
		"no body":            {answer: plainHead, pause: 5 * time.Millisecond},
		"forwarded in parts": {answer: plainHead + strings.Repeat("y", 300<<10), pause: 5 * time.Millisecond},
		"whole event":        {answer: streamHead + "id: 1\ndata: a\n\n", pause: 3 * time.Millisecond},
		"failure":            {answer: strings.Replace(plainHead, "200 OK", "500 X", 1) + "error", pause: 3 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, r *http.Request, _ int) bool {
				_, _ = io.CopyN(io.Discard, r.Body, c.read)
				_, _ = io.WriteString(w, c.answer)
				time.Sleep(c.pause)
				reset(w)
				return false
			})
			b := start(t)
			defer b.stop()
			for range tries {
				e, data := b.call(t, s.listener.Addr().String(), "1", upload)
				g.Expect(e.Kind).To(Equal(relay.CallBroken), "%v", e.Cause)
				g.Expect(data).NotTo(HaveSuffix("END"))
			}
		})
	}
}

// Guards against a whole answer that is lost because its server gives it before it has read the request, and ends
// the connection in order or not at all.
func TestAnEarlyAnswerIsComplete(t *testing.T) {
	const tries = 10
	body := strings.Repeat("y", 900)
	endSide := func(w net.Conn, _ *http.Request) { _ = w.(*net.TCPConn).CloseWrite() }
	for name, c := range map[string]struct {
		answer string
		finish func(w net.Conn, r *http.Request)
		data   string
	}{
		"reads on": {answer: plainHead + body, finish: func(w net.Conn, r *http.Request) {
			endSide(w, r)
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		"reads no further": {answer: plainHead + body, finish: func(w net.Conn, r *http.Request) {
			endSide(w, r)
			time.Sleep(10 * time.Millisecond)
			reset(w)
		}},
		"stream": {answer: streamHead + "id: 1\ndata: a\n\n", finish: func(w net.Conn, r *http.Request) {
			endSide(w, r)
			time.Sleep(10 * time.Millisecond)
			reset(w)
		}, data: "id: 1\ndata: a\n\nEND"},
		"with a length, then reset": {answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body), finish: func(w net.Conn, _ *http.Request) { reset(w) }},
		"in chunks, then reset":     {answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), finish: func(w net.Conn, _ *http.Request) { reset(w) }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, r *http.Request, _ int) bool {
				_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
				_, _ = io.WriteString(w, c.answer)
				c.finish(w, r)
				return false
			})
			b := start(t)
			defer b.stop()
			for range tries {
				e, data := b.call(t, s.listener.Addr().String(), "1", upload)
				if c.data != "" {
					g.Expect(e.Kind).To(Equal(relay.CallEnded), "%v", e.Cause)
					g.Expect(data).To(Equal(c.data))
					continue
				}
				g.Expect(e.Kind).To(Equal(relay.CallAnswered), "%v", e.Cause)
				g.Expect(string(e.Answer.Body)).To(Equal(body))
			}
		})
	}
}
