package app_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/app"
	"briaryard/internal/service/frontannounce"
	"briaryard/internal/standin/announce"
	"briaryard/internal/standin/booking"
	"briaryard/internal/standin/engine"
)

func TestApp(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "app")
}

const testConfig = `
default_team: studio
teams:
  studio: {highest_tier: urgent}
  partner: {highest_tier: standard}
pools:
  notes: {kind: engine, max_tokens: 512}
  booking:
    kind: plain
    routes: [{method: GET, path: /stock, idempotent: true}, {method: POST, path: /book, idempotent: false}]
`

// fixture is an instance with a stand-in engine and a stand-in booking service as backend servers.
type fixture struct {
	instance *app.Instance
	engine   *engine.Engine
	booking  *booking.Service
	// startupBookings is the number of bookings made while the instance started.
	startupBookings int
}

func start() *fixture {
	return startWith(testConfig, engine.Options{ID: "e1", Model: "notes", Domain: "d1", Slots: 4, TokenTime: 5 * time.Millisecond})
}

// startWith starts an instance with a configuration, a stand-in engine with the given options and a
// stand-in booking service, and waits until the instance has confirmed its configuration.
func startWith(config string, o engine.Options) *fixture {
	settings := app.Settings{
		ID: "i1", FailureDomain: "d1", CallerAddress: "127.0.0.1:0", ServerAddress: "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0", AddressTTL: time.Second, MaxBodyBytes: 1 << 20, ConfirmWithin: 5 * time.Second,
	}
	Expect(settings.Check()).To(BeEmpty())
	f := &fixture{
		instance: app.New(settings, slog.New(slog.NewJSONHandler(GinkgoWriter, nil)), []byte(config)),
		engine:   engine.New(o),
		booking:  booking.New(booking.Options{ID: "b1", Service: "booking", Domain: "d1", Slots: 4, Delay: 20 * time.Millisecond}),
	}
	Expect(f.instance.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { Expect(f.instance.Stop(context.Background())).To(Succeed()) })
	f.announce(f.engine.Handler(), f.engine.Announcement)
	f.announce(f.booking.Handler(), f.booking.Announcement)
	Eventually(func() string {
		_, answer := f.do("GET", "/v1/services/booking/none", "")
		return answer
	}, 10).ShouldNot(ContainSubstring("withdrawn"))
	f.startupBookings = f.booking.Total()
	return f
}

// announce serves a stand-in over HTTP and announces it to the instance until the spec ends.
func (f *fixture) announce(h http.Handler, current func(string) frontannounce.Announcement) {
	server := httptest.NewServer(h)
	ctx, cancel := context.WithCancel(context.Background())
	address := strings.TrimPrefix(server.URL, "http://")
	done := make(chan struct{})
	go func() {
		defer close(done)
		announce.Run(ctx, []string{f.instance.ServerAddress()}, func() frontannounce.Announcement { return current(address) })
	}()
	DeferCleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	})
}

// do sends a request to the instance and returns the status and body of the answer.
func (f *fixture) do(method, path, body string, headers ...string) (int, string) {
	r, err := http.NewRequest(method, "http://"+f.instance.CallerAddress()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(answer)
}

const chat = `{"model":"notes","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"note"}]}`

var _ = Describe("the request path over HTTP", func() {
	It("streams a complete chat answer", func() {
		f := start()
		status, answer := f.do("POST", "/v1/chat/completions", chat)
		Expect(status).To(Equal(200))
		prompt := []byte(`[{"role":"user","content":"note"}]`)
		for i := range 8 {
			Expect(answer).To(ContainSubstring(engine.AnswerToken(prompt, i)))
		}
		Expect(answer).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("runs a booking once even if it is sent many times with its idempotency key", func() {
		f := start()
		answers := make(chan string, 20)
		for range cap(answers) {
			go func() {
				defer GinkgoRecover()
				_, answer := f.do("POST", "/v1/services/booking/book", `{"slot":1}`, "Idempotency-Key", "k1")
				answers <- answer
			}()
		}
		first := <-answers
		for range cap(answers) - 1 {
			Expect(<-answers).To(Equal(first))
		}
		Expect(f.booking.Executed()).To(Equal(map[string]int{"k1": 1}))
	})

	It("keeps equal idempotency keys of two teams apart", func() {
		f := start()
		_, one := f.do("POST", "/v1/services/booking/book", `{"slot":1}`, "Idempotency-Key", "k", "Briaryard-Team", "studio")
		_, two := f.do("POST", "/v1/services/booking/book", `{"slot":2}`, "Idempotency-Key", "k", "Briaryard-Team", "partner")
		Expect(one).NotTo(Equal(two))
	})

	DescribeTable("refuses a request with a problem document whose run state is not_run",
		func(path, body, code string, headers ...string) {
			f := start()
			status, answer := f.do("POST", path, body, headers...)
			Expect(status).To(BeNumerically(">=", 400))
			Expect(answer).To(ContainSubstring(`"urn:briaryard:problem:` + code + `"`))
			Expect(answer).To(ContainSubstring(`"run_state":"not_run"`))
			Expect(f.booking.Total()).To(Equal(f.startupBookings))
		},
		Entry("an invalid header", "/v1/chat/completions", chat, "invalid-header", "Briaryard-Tier", "top"),
		Entry("an oversized body", "/v1/chat/completions", strings.Repeat(" ", 1<<20+1), "body-too-large"),
		Entry("an unknown model", "/v1/chat/completions", strings.Replace(chat, "notes", "other", 1), "unknown-pool"),
		Entry("malformed JSON", "/v1/chat/completions", `{"model":`, "invalid-request"),
		Entry("a missing idempotency key", "/v1/services/booking/book", "{}", "idempotency-key-required"),
		Entry("a tier above the highest of the team", "/v1/chat/completions", chat, "tier-not-allowed",
			"Briaryard-Team", "partner", "Briaryard-Tier", "urgent"),
	)

	It("refuses an idempotency key that belongs to another request", func() {
		f := start()
		f.do("POST", "/v1/services/booking/book", `{"slot":1}`, "Idempotency-Key", "k1")
		_, answer := f.do("POST", "/v1/services/booking/book", `{"slot":2}`, "Idempotency-Key", "k1")
		Expect(answer).To(ContainSubstring("idempotency-key-mismatch"))
	})

	It("finishes an answer in progress during a graceful stop and refuses new requests", func() {
		f := start()
		answered := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, answer := f.do("POST", "/v1/chat/completions", strings.Replace(chat, `:8,`, `:500,`, 1))
			answered <- answer
		}()
		Eventually(f.engine.Executed, 10).ShouldNot(BeEmpty())
		finished := make(chan struct{})
		f.instance.BeginStop(func() { close(finished) })
		Eventually(func() string {
			_, answer := f.do("POST", "/v1/chat/completions", chat)
			return answer
		}, 10).Should(ContainSubstring("problem:stopping"))
		Eventually(finished, 30).Should(BeClosed())
		// The stop must not finish before the answer. If the answer were still being generated
		// now, it would take several seconds longer than the timeout here.
		Eventually(answered, 1).Should(Receive(HaveSuffix("data: [DONE]\n\n")))
	})
})
