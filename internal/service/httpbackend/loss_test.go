package httpbackend_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"briaryard/internal/decide/relay"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// Guards against a server that has ended and one that only reset a connection looking alike in the log.
func TestALostCallTellsWhetherItsServerHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		// head is what the server writes before the loss, ends whether it also closes its listener.
		head string
		ends bool
		want string
	}{
		"ended":                    {ends: true, want: `"server":"ended"`},
		"ended after the head":     {head: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\n", ends: true, want: `"server":"ended"`},
		"ended in the first event": {head: "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\nda", ends: true, want: `"server":"ended"`},
		"connection reset":         {want: `"server":"open"`},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var s *scriptedServer
			s = serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
				if c.ends {
					_ = s.listener.Close()
				}
				_, _ = io.WriteString(w, c.head)
				return false
			})
			log := gbytes.NewBuffer()
			b := startLogged(t, dialect{}, log)
			defer b.stop()
			e, _ := b.call(t, s.listener.Addr().String(), "1", func(o *port.HTTPOutbound) {
				stream(o)
				o.Parts = []model.PromptPart{"p1", "p2"}
			})
			g.Expect(e.Kind).To(Equal(relay.CallBroken))
			g.Eventually(log, waitLimit).Should(gbytes.Say(c.want + `,"parts":\["p1","p2"\]`))
		})
	}
}

// Guards against connections that cost a server something and tell nothing: a call that is lost after its
// first event, or that has no shared parts, needs no check.
func TestOnlyCallsThatTellSomethingAreChecked(t *testing.T) {
	for name, parts := range map[string][]model.PromptPart{"after the first event": {"p1"}, "no shared parts": nil} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
				if parts != nil {
					_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\nid")
				}
				return false
			})
			log := gbytes.NewBuffer()
			b := startLogged(t, dialect{}, log)
			defer b.stop()
			e, _ := b.call(t, s.listener.Addr().String(), "1", func(o *port.HTTPOutbound) {
				stream(o)
				o.Parts = parts
			})
			g.Expect(e.Kind).To(Equal(relay.CallBroken))
			g.Consistently(log, 100*time.Millisecond).ShouldNot(gbytes.Say("call.lost"))
		})
	}
}
