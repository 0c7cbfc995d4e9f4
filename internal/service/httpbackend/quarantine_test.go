package httpbackend_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/clock"
	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/relay"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

var harmfulParts = []model.PromptPart{"first", "dead"}

// evidenceAfter returns the evidence after a number of crashes of servers, a second apart.
func evidenceAfter(crashes int) *quarantine.View {
	l := quarantine.NewLedger()
	for n := range crashes {
		at := clock.Boot().Add(time.Duration(n-crashes) * time.Second)
		l.Observe(at, quarantine.Sighting{
			Parts: harmfulParts, SentAt: at.Add(-100 * time.Millisecond), Crash: quarantine.CrashID{Server: model.BackendServerID(string(rune('a' + n))), Incarnation: 1},
		})
	}
	return l.View()
}

// Guards against a request that was granted before its part was quarantined and is sent after. A probe is sent.
func TestACallWithAHarmfulPartIsReturned(t *testing.T) {
	for name, c := range map[string]struct {
		probe bool
		parts []model.PromptPart
		want  relay.CallKind
	}{
		"held back":       {parts: harmfulParts, want: relay.CallReturned},
		"probe":           {probe: true, parts: harmfulParts, want: relay.CallEnded},
		"other part only": {parts: harmfulParts[:1], want: relay.CallEnded},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\n")
				return false
			})
			b := start(t)
			defer b.stop()
			b.evidence.publish(evidenceAfter(3))
			e, _ := b.call(t, s.listener.Addr().String(), "1", func(o *port.HTTPOutbound) {
				stream(o)
				o.Parts, o.Probe = c.parts, c.probe
			})
			g.Expect(e.Kind).To(Equal(c.want))
			if c.want == relay.CallReturned {
				g.Consistently(s.requests, 50*time.Millisecond).ShouldNot(Receive(), "the server got the request")
			}
		})
	}
}

// Guards against evidence that is not taken: the crash of a server before the first event, and an answer that
// begins on a suspected part. A failure and an unsuspected part say nothing.
func TestWhatACallShowsOfItsPartsIsReported(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		ends   bool
		known  int
		want   []quarantine.Sighting
	}{
		"server ends":      {answer: head, ends: true, want: []quarantine.Sighting{{Parts: harmfulParts, Crash: quarantine.CrashID{Server: "b"}}}},
		"connection reset": {answer: head},
		"begins":           {answer: head + "id: 1\n\n", known: 1, want: []quarantine.Sighting{{Parts: harmfulParts}}},
		"not suspected":    {answer: head + "id: 1\n\n"},
		"failure":          {answer: "HTTP/1.1 500 X\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n", known: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var s *scriptedServer
			s = serve(t, func(w net.Conn, _ *http.Request, _ int) bool {
				if c.ends {
					_ = s.listener.Close()
				}
				_, _ = io.WriteString(w, c.answer)
				return false
			})
			b := start(t)
			defer b.stop()
			b.evidence.publish(evidenceAfter(c.known))
			b.call(t, s.listener.Addr().String(), "1", func(o *port.HTTPOutbound) {
				stream(o)
				o.Parts = harmfulParts
			})
			for _, want := range c.want {
				var got quarantine.Sighting
				g.Eventually(b.evidence.sightings, waitLimit).Should(Receive(&got))
				g.Expect(got.SentAt.IsZero()).To(Equal(want.Began()))
				got.SentAt = time.Time{}
				g.Expect(got).To(Equal(want))
			}
			g.Consistently(b.evidence.sightings, 100*time.Millisecond).ShouldNot(Receive())
		})
	}
}
