package engineclient_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/engineclient"
	"briaryard/internal/standin/engine"
	"briaryard/internal/standin/relay"
)

const prompt = `[{"role":"user","content":"note"}]`

var request = model.RequestID{Instance: "i1", Incarnation: 1, Seq: 1}

// call runs one call against an address, calls injectFault after opening it, and returns its events
// once it has ended.
func call(t *testing.T, address string, tokens int, injectFault func()) []port.StreamEvent {
	t.Helper()
	g := engineclient.New(event.New(slog.New(slog.DiscardHandler)), nil)
	events := make(chan port.StreamEvent, 1024)
	g.Attach(func(_ context.Context, e port.StreamEvent) error { events <- e; return nil })
	k := kernel.New(func(err error) { t.Error(err) })
	if err := k.Register(g); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Stop(context.Background()) }()
	g.Open(port.Outbound{
		Request: request, Server: model.BackendServer{ID: "e1", Address: address},
		Call: model.Call{Model: "notes", Prompt: []byte(prompt), MaxTokens: tokens},
	})
	injectFault()
	var out []port.StreamEvent
	limit := time.After(60 * time.Second)
	for {
		select {
		case e := <-events:
			out = append(out, e)
			if e.Kind == port.StreamEnd || e.Kind == port.StreamFailed {
				return out
			}
		case <-limit:
			t.Fatal("the call did not end")
		}
	}
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// startEngine starts a stand-in engine, its HTTP server and a relay to that server.
func startEngine(t *testing.T) (*engine.Engine, *httptest.Server, *relay.Relay) {
	t.Helper()
	e := engine.New(engine.Options{ID: "e1", Model: "notes", Slots: 4, TokenTime: 10 * time.Millisecond})
	server := httptest.NewServer(e.Handler())
	r, err := relay.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close(); server.CloseClientConnections(); server.Close() })
	return e, server, r
}

// receivedText returns the data of the events.
func receivedText(events []port.StreamEvent) string {
	var out strings.Builder
	for _, e := range events {
		out.Write(e.Data)
	}
	return out.String()
}

// wantText returns the answer that the stand-in engine gives to the prompt.
func wantText(tokens int) string {
	var out strings.Builder
	for i := range tokens {
		out.WriteString(engine.AnswerToken([]byte(prompt), i))
	}
	return out.String()
}

// Guards against lost or duplicate tokens, and against a second execution of the call, when the
// connection is reset or becomes silent between two tokens.
func TestStreamContinuesFromTheNextToken(t *testing.T) {
	for name, injectFault := range map[string]func(*relay.Relay){
		"reset":  func(r *relay.Relay) { r.Reset() },
		"silent": func(r *relay.Relay) { r.Freeze(relay.FromTarget) },
	} {
		t.Run(name, func(t *testing.T) {
			e, _, r := startEngine(t)
			events := call(t, r.Address(), 60, func() {
				eventually(t, "the first tokens", func() bool { return len(e.Executed()) > 0 })
				time.Sleep(100 * time.Millisecond)
				injectFault(r)
			})
			if got := receivedText(events); got != wantText(60) {
				t.Fatalf("answer is %q", got)
			}
			if e.Executed()[request.String()] != 1 {
				t.Fatalf("executions: %v", e.Executed())
			}
		})
	}
}

// Guards against a call that is reported as not run although the engine runs it later, because its
// request was delayed in transit.
func TestHeldUpCallIsSettledAsNotRun(t *testing.T) {
	e, _, r := startEngine(t)
	r.Block(relay.ToTarget)
	events := call(t, r.Address(), 5, func() {
		eventually(t, "the connection", func() bool { return r.OpenConnections() > 0 })
		r.AllowNew()
	})
	if last := events[len(events)-1]; last.Kind != port.StreamFailed || !last.NotRun {
		t.Fatalf("last event is %+v, want a failure with NotRun set", last)
	}
	r.Resume()
	time.Sleep(300 * time.Millisecond)
	if len(e.Executed()) != 0 {
		t.Fatalf("the call ran later: %v", e.Executed())
	}
}

// Guards against a call that is abandoned before the first answer although the engine runs it.
func TestSilenceBeforeTheFirstAnswerIsResumed(t *testing.T) {
	e, _, r := startEngine(t)
	r.Block(relay.FromTarget)
	events := call(t, r.Address(), 5, func() {
		eventually(t, "the run", func() bool { return len(e.Executed()) > 0 })
		r.AllowNew()
	})
	if got := receivedText(events); got != wantText(5) || e.Executed()[request.String()] != 1 {
		t.Fatalf("answer is %q after %v", got, e.Executed())
	}
}

// Guards against a call being reported as not run when the backend server fails while running it.
func TestDeadServerInterruptsTheStream(t *testing.T) {
	e, server, r := startEngine(t)
	events := call(t, strings.TrimPrefix(server.URL, "http://"), 1000, func() {
		eventually(t, "the run", func() bool { return len(e.Executed()) > 0 })
		r.Close()
		_ = server.Listener.Close()
		server.CloseClientConnections()
	})
	if last := events[len(events)-1]; last.Kind != port.StreamFailed || last.NotRun {
		t.Fatalf("last event is %+v, want a failure without NotRun", last)
	}
}

// Guards against an answer with a missing or a duplicate token.
func TestTokenNumbersAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		ids  []int
		want port.StreamKind
	}{"gap": {[]int{0, 2}, port.StreamFailed}, "repeat": {[]int{0, 0, 1}, port.StreamEnd}} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for _, id := range c.ids {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", id, id)
				}
				_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			}))
			defer server.Close()
			events := call(t, strings.TrimPrefix(server.URL, "http://"), 3, func() {})
			if last := events[len(events)-1]; last.Kind != c.want {
				t.Fatalf("last event is %+v", last)
			}
			if got := receivedText(events); c.want == port.StreamEnd && got != "01" {
				t.Fatalf("answer is %q", got)
			}
		})
	}
}
