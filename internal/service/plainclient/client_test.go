package plainclient_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/plainclient"
)

// tries is the number of calls of each case: which side learns of a reset first differs.
const tries = 20

// serve starts a server that reads the head of one request on each connection and calls answer.
func serve(t *testing.T, answer func(w *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// call makes a call with a request of 8 MiB and returns the data and the last event.
func call(t *testing.T, address string) (data string, last port.StreamEvent) {
	t.Helper()
	g := plainclient.New(nil)
	events := make(chan port.StreamEvent, 16)
	g.Attach(func(_ context.Context, e port.StreamEvent) error { events <- e; return nil })
	k := kernel.New(func(err error) { t.Error(err) })
	if err := k.Register(g); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Stop(context.Background()) }()
	g.Open(port.Outbound{Server: model.BackendServer{Address: address}, Call: model.Call{Method: "POST", Path: "/x", Body: bytes.Repeat([]byte("x"), 8<<20)}})
	for {
		select {
		case e := <-events:
			data += string(e.Data)
			if e.Kind == port.StreamEnd || e.Kind == port.StreamFailed {
				return data, e
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the call does not end")
		}
	}
}

// Guards against a part of an answer without a length that is taken for a whole one because its server resets the
// connection while the request is still being written.
func TestAnAnswerResetDuringItsRequestIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, func(w *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(3 * time.Millisecond)
		_ = w.SetLinger(0)
	})
	for range tries {
		_, last := call(t, address)
		g.Expect(last.Kind).To(Equal(port.StreamFailed))
		g.Expect(last.NotRun).To(BeFalse())
	}
}

// Guards against a whole answer that is lost because its server gives it before it has read the request.
func TestAnEarlyAnswerIsComplete(t *testing.T) {
	body := strings.Repeat("y", 900)
	for name, c := range map[string]struct {
		head   string
		finish func(w *net.TCPConn, r *http.Request)
	}{
		"reads on": {finish: func(w *net.TCPConn, r *http.Request) {
			_ = w.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		"reads no further": {finish: func(w *net.TCPConn, _ *http.Request) {
			_ = w.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			_ = w.SetLinger(0)
		}},
		"with a length, then reset": {head: fmt.Sprintf("Content-Length: %d\r\n", len(body)), finish: func(w *net.TCPConn, _ *http.Request) { _ = w.SetLinger(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := serve(t, func(w *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+c.head+"\r\n"+body)
				c.finish(w, r)
			})
			for range tries {
				data, last := call(t, address)
				g.Expect(last.Kind).To(Equal(port.StreamEnd), "%v", last.Err)
				g.Expect(data).To(Equal(body))
			}
		})
	}
}

// provesNothing checks that calls whose answer has a malformed head fail, without a proof that they were not run.
func provesNothing(t *testing.T, heads map[string]string) {
	t.Helper()
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, last := call(t, serve(t, func(w *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(w, head+"Briaryard-Not-Admitted: true\r\nContent-Length: 2\r\n\r\nok")
				_, _ = io.Copy(io.Discard, r.Body)
			}))
			g.Expect(last.Kind).To(Equal(port.StreamFailed))
			g.Expect(last.NotRun).To(BeFalse(), "%v", last.Err)
		})
	}
}

// Guards against an answer with an invalid status that is passed on or proves that the call was not run.
func TestAnInvalidStatusProvesNothing(t *testing.T) {
	heads := make(map[string]string)
	for _, status := range []string{"000", "099", "101", "600"} {
		heads[status] = "HTTP/1.1 " + status + " X\r\n"
	}
	provesNothing(t, heads)
}

// Guards against an answer with a malformed field name that is passed on or proves that the call was not run.
func TestAMalformedFieldProvesNothing(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	provesNothing(t, map[string]string{
		"blank before the colon": ok + "A : b\r\n", "blank inside": ok + "A b: c\r\n", "blank before": ok + "A: b\r\n C: d\r\n",
		"control byte": ok + "A\x01: b\r\n", "in an interim answer": "HTTP/1.1 103 X\r\nA : b\r\n\r\n" + ok,
	})
}
