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
	// Guards against an answer that does not follow the control group or the graceful stop.
	It("is refused without a quorum and during the stop, while the health stays good", func() {
		settings := groupSettings()
		fleet := []*app.Instance{launch(settings[0])}
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
		fleet = append(fleet, launch(settings[1]), launch(settings[2]))
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
