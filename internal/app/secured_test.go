package app_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/app"
	"briaryard/internal/event"
	"briaryard/internal/model"
	"briaryard/internal/operator"
	"briaryard/internal/service/frontannounce"
	"briaryard/internal/standin/announce"
	"briaryard/internal/standin/booking"
	"briaryard/internal/standin/engine"
	"briaryard/internal/trust"
	"briaryard/internal/trust/trusttest"
)

// syncBuffer is a buffer for the logs of several instances, safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// securedFleet is a fleet of three instances with TLS and tokens on every listener.
type securedFleet struct {
	dir   string
	files trust.Files
	log   syncBuffer
	fleet []*app.Instance
	// peer is the peer address of the first instance.
	peer string
}

// writeFile writes a file in the folder of the fleet and returns its path.
func (s *securedFleet) writeFile(name, text string) string {
	path := filepath.Join(s.dir, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// acceptedTokens returns a tokens file with the nth generation of tokens.
func acceptedTokens(n int) string {
	return fmt.Sprintf("team studio team-secret-%[1]d\nteam partner partner-secret-%[1]d\noperator operator-secret-%[1]d\nbackend-server announce-secret-%[1]d\n", n)
}

func startSecured() *securedFleet {
	s := &securedFleet{dir: GinkgoT().TempDir()}
	s.files = trusttest.NewAuthority(GinkgoT()).Write(GinkgoT(), s.dir, 1)
	s.writeFile("accepted", acceptedTokens(1))
	s.writeFile("call", "call-secret-1")
	// The caller addresses must be fixed because the list of addresses names them.
	addresses, callers := freeAddresses(3), freeAddresses(3)
	s.peer = addresses[0]
	for k, address := range addresses {
		settings := app.Settings{
			ID: fmt.Sprintf("i%d", k+1), FailureDomain: "d1", CallerAddress: callers[k], ServerAddress: "127.0.0.1:0",
			OperAddress: "127.0.0.1:0", AddressTTL: time.Second, MaxBodyBytes: 1 << 20, ConfirmWithin: 5 * time.Second,
			PeerAddress: address, Peers: addresses[:1], FleetToken: "fleet-secret",
			TLSCert: s.files.Cert, TLSKey: s.files.Key, TLSCA: s.files.Authority, TokensFile: filepath.Join(s.dir, "accepted"),
			BackendCA: s.files.Authority, BackendFile: filepath.Join(s.dir, "call"),
		}
		Expect(settings.Check()).To(BeEmpty())
		log := slog.New(slog.NewTextHandler(&s.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
		i := app.New(settings, log, []byte(testConfig), app.WithLeaseHolder(model.InstanceID("i1")))
		Expect(i.Start(context.Background())).To(Succeed())
		DeferCleanup(func() { Expect(i.Stop(context.Background())).To(Succeed()) })
		s.fleet = append(s.fleet, i)
	}
	return s
}

// backend runs a stand-in with TLS that requires the token in the file "served", and announces it
// to an instance with the token in the file "announce". It returns the address of the stand-in.
func (s *securedFleet) backend(home *app.Instance, h http.Handler, current func(string) frontannounce.Announcement) string {
	configs, err := trust.Load(s.files)
	Expect(err).NotTo(HaveOccurred())
	accepted, err := trust.LoadTokens(s.writeFile("served", "backend-server call-secret-1"), "", nil)
	Expect(err).NotTo(HaveOccurred())
	outgoing, err := trust.LoadOutgoing(trust.OutgoingFiles{Authority: s.files.Authority, TokenFile: s.writeFile("announce", "announce-secret-1")})
	Expect(err).NotTo(HaveOccurred())
	server := httptest.NewUnstartedServer(accepted.Guard(trust.RoleServer)(h))
	server.Listener = tls.NewListener(server.Listener, configs.Listener)
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	address := server.Listener.Addr().String()
	go announce.RunSecured(ctx, outgoing, []string{home.ServerAddress()}, func() frontannounce.Announcement { return current(address) })
	DeferCleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	return address
}

func (s *securedFleet) client(token string) *http.Client {
	outgoing, err := trust.LoadOutgoing(trust.OutgoingFiles{Authority: s.files.Authority, Token: token})
	Expect(err).NotTo(HaveOccurred())
	return &http.Client{Transport: outgoing.Transport(&http.Transport{DisableKeepAlives: true}), Timeout: 10 * time.Second}
}

// ask sends a chat request with a token to an instance and returns the status and the answer.
func (s *securedFleet) ask(i *app.Instance, token string, headers ...string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.CallerAddress()+"/v1/chat/completions", strings.NewReader(chat))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Briaryard-Deadline-Ms", "2000")
	for n := 0; n < len(headers); n += 2 {
		r.Header.Set(headers[n], headers[n+1])
	}
	response, err := s.client(token).Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

// chatAnswer returns a function that sends a chat request and returns the answer.
func (s *securedFleet) chatAnswer(i *app.Instance, token string) func() string {
	return func() string { _, answer := s.ask(i, token); return answer }
}

var _ = Describe("a fleet with TLS and tokens on every listener", func() {
	It("serves requests, refuses calls without a valid token or TLS, reloads changed tokens and logs no token", func() {
		s := startSecured()
		e := engine.New(engine.Options{ID: "e1", Model: "notes", Domain: "d1", Slots: 4, TokenTime: time.Millisecond})
		b := booking.New(booking.Options{ID: "b1", Service: "booking", Domain: "d1", Slots: 4})
		s.backend(s.fleet[2], e.Handler(), e.Announcement)
		s.backend(s.fleet[1], b.Handler(), b.Announcement)
		done := HaveSuffix("data: [DONE]\n\n")
		for _, i := range s.fleet {
			Eventually(s.chatAnswer(i, "team-secret-1"), 30).Should(done)
		}
		Eventually(func() (int, error) {
			response, err := s.client("team-secret-1").Get("http://" + s.fleet[0].CallerAddress() + "/v1/services/booking/stock")
			if err != nil {
				return 0, err
			}
			return response.StatusCode, response.Body.Close()
		}, 30).Should(Equal(200))

		By("refusing calls without a valid token or without TLS")
		status, _ := s.ask(s.fleet[1], "operator-secret-1")
		Expect(status).To(Equal(401))
		status, _ = s.ask(s.fleet[1], "partner-secret-1", "Briaryard-Team", "studio")
		Expect(status).To(Equal(401))
		for _, address := range []string{s.fleet[0].CallerAddress(), s.fleet[0].ServerAddress(), s.fleet[0].OperatorAddress()} {
			Expect(plainStatus(address)).NotTo(Equal(200))
		}

		By("reporting failed handshakes as events at a limited rate")
		for range 30 {
			Expect(plainStatus(s.peer)).To(Equal(0))
			Expect(plainStatus(s.fleet[0].CallerAddress())).NotTo(Equal(200))
		}
		for event, text := range map[string]string{"http.error": "front.caller", "peer.handshake_failed": "tls:"} {
			Eventually(func() int { return len(s.fleet[0].Log().Recent(matchEvent(event, text))) }, 30).Should(BeNumerically(">", 0))
			Consistently(func() int { return len(s.fleet[0].Log().Recent(matchEvent(event, ""))) }, 1).Should(BeNumerically("<=", 30))
		}
		Expect(len(s.fleet[0].Log().Recent(matchEvent("peer.handshake_failed", "")))).To(BeNumerically("<=", 20))

		outgoing, err := trust.LoadOutgoing(trust.OutgoingFiles{Authority: s.files.Authority, Token: "operator-secret-1"})
		Expect(err).NotTo(HaveOccurred())
		var seen operator.Status
		Expect(operator.NewSecuredClient([]string{s.fleet[0].OperatorAddress()}, outgoing).Get(context.Background(), operator.PathStatus, &seen)).To(Succeed())
		Expect(operator.NewSecuredClient([]string{s.fleet[0].OperatorAddress()}, nil).Get(context.Background(), operator.PathStatus, &seen)).NotTo(Succeed())

		By("using new tokens without a restart")
		s.writeFile("accepted", acceptedTokens(2))
		s.writeFile("announce", "announce-secret-2")
		s.writeFile("served", "backend-server call-secret-2")
		s.writeFile("call", "call-secret-2")
		Eventually(func() int { status, _ := s.ask(s.fleet[1], "team-secret-1"); return status }, 30).Should(Equal(401))
		for _, i := range s.fleet {
			Eventually(s.chatAnswer(i, "team-secret-2"), 30).Should(done)
		}
		Consistently(s.chatAnswer(s.fleet[1], "team-secret-2"), 5, 0.2).Should(done)
		Expect(s.log.String()).To(ContainSubstring("process.started"))
		Expect(s.log.String()).NotTo(ContainSubstring("secret"))
	})
})

// matchEvent matches events by name that contain a text in their fields.
func matchEvent(name, text string) func(event.Record) bool {
	return func(r event.Record) bool { return r.Event == name && strings.Contains(fmt.Sprint(r.Fields), text) }
}

// plainStatus sends a request without TLS and returns the status of the answer, or zero if there is
// none.
func plainStatus(address string) int {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	Expect(err).NotTo(HaveOccurred())
	_ = c.Close()
	response, err := http.Get("http://" + address + "/v1/addresses")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
