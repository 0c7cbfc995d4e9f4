package engineclient

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/placement"
	"briaryard/internal/event"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// serveBytes starts an engine that answers the first request on each connection with the bytes for its method.
func serveBytes(t *testing.T, answers map[string]string) string {
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
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answers[r.Method])
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// failedCall checks that a call with the answers fails without a proof that it was not run. It returns the client
// and the address of the engine.
func failedCall(t *testing.T, answers map[string]string) (*client, string) {
	t.Helper()
	g := NewWithT(t)
	address := serveBytes(t, answers)
	s := New(event.New(slog.New(slog.DiscardHandler)), nil)
	var last port.StreamEvent
	s.client.call(context.Background(), port.Outbound{
		Server: model.BackendServer{Address: address}, Call: model.Call{Prompt: []byte("[]")},
	}, func(e port.StreamEvent) { last = e })
	g.Expect(last.Kind).To(Equal(port.StreamFailed))
	g.Expect(last.NotRun).To(BeFalse(), "%v", last.Err)
	return s.client, address
}

// provesNothing checks that a call whose answers are malformed fails without a proof that it was not run, and that
// an order has no known outcome.
func provesNothing(t *testing.T, answers map[string]string) {
	t.Helper()
	g := NewWithT(t)
	c, address := failedCall(t, answers)
	outcome, err := c.order(context.Background(), loadOrder(address, 1, time.Hour))
	g.Expect(outcome).To(Equal(placement.Unknown), "%v", err)
}

// malformed returns the answers of an engine that refuses calls and orders, with a line in each head.
func malformed(status, line string) map[string]string {
	head := "HTTP/1.1 " + status + " X\r\nBriaryard-Not-Admitted: true\r\n" + line + "Content-Length: "
	return map[string]string{
		"POST":   head + "0\r\n\r\n",
		"GET":    "HTTP/1.1 404 X\r\n" + line + "Content-Length: 0\r\n\r\n",
		"DELETE": head + "26\r\n\r\n" + `{"state":"never_admitted"}`,
	}
}

// Guards against an answer with an invalid status that proves that a call was not run or ends an order.
func TestAnInvalidStatusProvesNothing(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		t.Run(status, func(t *testing.T) { provesNothing(t, malformed(status, "")) })
	}
}

// Guards against an answer with a malformed field name that proves that a call was not run or ends an order.
func TestAMalformedFieldProvesNothing(t *testing.T) {
	for name, line := range map[string]string{
		"blank before the colon": "A : b\r\n", "blank inside": "A b: c\r\n", "blank before": " A: b\r\n", "control byte": "A\x01: b\r\n",
	} {
		t.Run(name, func(t *testing.T) { provesNothing(t, malformed("503", line)) })
	}
}

// Guards against a part of an answer, which its engine broke off, that proves that a call was not run.
func TestAPartOfAnAnswerProvesNothing(t *testing.T) {
	failedCall(t, map[string]string{
		"GET":    "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
		"DELETE": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + `{"state":"never_admitted"}`,
	})
}
