package app_test

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/load"
	"briaryard/internal/standin/booking"
	"briaryard/internal/trust"
)

var _ = Describe("the load generator", func() {
	// Guards against a load generator that cannot be used with a secured fleet, and against a run that
	// counts the refusals of callers without a token as load.
	It("generates load on a fleet with TLS and tokens and reads the executions of its stand-ins", func() {
		s := startSecured()
		b := booking.New(booking.Options{ID: "b1", Service: "booking", Domain: "d1", Slots: 8, Delay: time.Millisecond})
		standin := s.backend(s.fleet[1], b.Handler(), b.Announcement)
		Eventually(func() string {
			response, err := s.client("team-secret-1").Get("http://" + s.fleet[0].CallerAddress() + "/v1/services/booking/stock")
			if err != nil {
				return err.Error()
			}
			return fmt.Sprint(response.StatusCode, response.Body.Close())
		}, 30).Should(Equal("200 <nil>"))
		callers, err := trust.LoadOutgoing(trust.OutgoingFiles{Authority: s.files.Authority})
		Expect(err).NotTo(HaveOccurred())
		backends, err := trust.LoadOutgoing(trust.OutgoingFiles{Authority: s.files.Authority, TokenFile: filepath.Join(s.dir, "call")})
		Expect(err).NotTo(HaveOccurred())
		tokens, err := trust.TeamTokens(filepath.Join(s.dir, "accepted"))
		Expect(err).NotTo(HaveOccurred())
		Expect(tokens).To(Equal(map[string]string{"studio": "team-secret-1", "partner": "partner-secret-1"}))
		options := load.Options{
			Addresses: []string{s.fleet[0].CallerAddress()}, Executions: []string{standin}, Domain: "d1",
			Rate: 40, Duration: 2 * time.Second, Seed: 1, Tokens: tokens, Callers: callers, Backends: backends,
			Mix: load.Mix{Name: "secured", Classes: []load.Class{
				{Name: "stock", Share: 1, Team: "studio", Tier: "urgent", Service: "booking", Path: "/stock", Deadline: 10 * time.Second},
				{Name: "book", Share: 1, Team: "partner", Tier: "standard", Service: "booking", Path: "/book", Keyed: true, Deadline: 10 * time.Second},
			}},
		}
		report, err := load.Run(context.Background(), options)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Faults()).To(BeEmpty())
		Expect(report.Refusals).To(BeEmpty())
		Expect(b.Total()).To(BeNumerically(">", 20))
		delete(options.Tokens, "partner")
		_, err = load.Run(context.Background(), options)
		Expect(err).To(MatchError(ContainSubstring("partner")))
	})
})
