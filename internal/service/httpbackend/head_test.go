package httpbackend_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/relay"
)

// expectBroken checks that calls answered with any of the given bytes end as broken, and that nothing is forwarded.
func expectBroken(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool { _, _ = io.WriteString(w, answer); return false })
			b := start(t)
			defer b.stop()
			e, data := b.call(t, s.listener.Addr().String(), "1", stream)
			g.Expect(e.Kind).To(Equal(relay.CallBroken))
			g.Expect(data).To(BeEmpty())
		})
	}
}

// Guards against an answer whose status is no valid one that is passed on, that counts as an interim answer before
// the next one, or that proves that the request was not run.
func TestAnInvalidStatusIsNoAnswer(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok"
	answers := make(map[string]string)
	for _, status := range []string{"000", "042", "099", "101", "600", "999"} {
		head := "HTTP/1.1 " + status + " X\r\nAttempt: 1\r\nNot-Run: 1\r\n"
		answers[status] = head + "Content-Length: 0\r\n\r\n"
		answers[status+" before an answer"] = "HTTP/1.1 " + status + " X\r\n\r\n" + next
	}
	answers["another version"] = strings.Replace(next, "HTTP/1.1", "HTTP/2.0", 1)
	answers["control byte in the reason"] = strings.Replace(next, "OK", "O\x01K", 1)
	expectBroken(t, answers)
}

// Guards against interim answers that are taken for the answer or end the call.
func TestInterimAnswersAreSkipped(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		reply(w, "1", "", "ok")
		return true
	})
	b := start(t)
	defer b.stop()
	e, _ := b.call(t, s.listener.Addr().String(), "1", nil)
	g.Expect(e.Kind).To(Equal(relay.CallAnswered), "%v", e.Cause)
}
