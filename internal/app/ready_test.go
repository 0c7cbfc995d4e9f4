package app_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/app"
	"briaryard/internal/operator"
)

var _ = Describe("the readiness of an instance", func() {
	// Guards against a readiness answer that ignores a missing quorum or a graceful stop.
	It("is not ready without a quorum and during the stop, while the health check succeeds", func() {
		settings := groupSettings()
		fleet := []*app.Instance{startInstance(settings[0])}
		DeferCleanup(func() {
			for _, i := range fleet {
				Expect(i.Stop(context.Background())).To(Succeed())
			}
		})
		client := operator.NewClient([]string{fleet[0].OperatorAddress()})
		reason := func() string {
			var r operator.Readiness
			if err := client.Get(context.Background(), operator.PathReady, &r); err != nil {
				return err.Error()
			}
			if r.Ready {
				return "ready"
			}
			return r.Reason
		}
		health := func() int {
			response, err := http.Get("http://" + fleet[0].OperatorAddress() + operator.PathHealth)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			return response.StatusCode
		}
		Eventually(reason, 30).Should(Equal(operator.ReasonWithdrawn))
		Expect(health()).To(Equal(200))
		fleet = append(fleet, startInstance(settings[1]), startInstance(settings[2]))
		Eventually(reason, 30).Should(Equal(operator.ReasonStarting))
		Eventually(func() error {
			return client.Post(context.Background(), operator.PathConfig, operator.Apply{
				ChangeID: "first", Operator: "ana", Content: testConfig}, &operator.Applied{})
		}, 30).Should(Succeed())
		Eventually(reason, 30).Should(Equal("ready"))
		finished := make(chan struct{})
		fleet[0].BeginStop(func() { close(finished) })
		Eventually(reason, 30).Should(Equal(operator.ReasonLeaving))
		Expect(health()).To(Equal(200))
		Eventually(finished, 30).Should(BeClosed())
	})
})
