package app_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/operator"
	"briaryard/internal/standin/engine"
)

var spareEngine = engine.Options{ID: "e1", Domain: "d1", Slots: 4, TokenTime: 5 * time.Millisecond, LoadTime: 50 * time.Millisecond}

func placementConfig() string {
	return strings.Replace(testConfig, "notes: {kind: engine, ", "notes: {kind: engine, servers_per_domain: 1, adapters: [lace], ", 1)
}

var _ = Describe("placement", func() {
	// Guards against a missing link between the declared placement and a served request.
	It("loads a declared model and adapter on a spare engine, which then serves requests", func() {
		f := startWith(placementConfig()+"placement: {settle: 10ms}\n", spareEngine)
		Eventually(func() string {
			_, answer := f.do("POST", "/v1/chat/completions", chat, "Briaryard-Deadline-Ms", "2000")
			return answer
		}, 30).Should(HaveSuffix("data: [DONE]\n\n"))
		Eventually(func() []string { return f.engine.Announcement("a").Adapters }, 30).Should(ConsistOf("lace"))
		orders := f.engine.Orders()
		Expect(orders).To(HaveLen(2))
		Expect([]string{orders[0].Kind, orders[1].Kind}).To(Equal([]string{"load_model", "load_adapter"}))
		var s operator.Status
		client := operator.NewClient([]string{f.instance.OperatorAddress()})
		Eventually(func() (int, error) {
			err := client.Get(context.Background(), operator.PathStatus, &s)
			return len(s.Placement.Orders) + len(s.Placement.Missing), err
		}, 30).Should(BeZero())
		Expect(s.Placement.Holder).To(Equal("i1"))
		Expect(s.Placement.Here).To(BeTrue())
		response, err := http.Get("http://" + f.instance.OperatorAddress() + "/")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		page, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(And(ContainSubstring("missing engines"), HaveSuffix("</html>\n")))
	})

	// Guards against orders to the engines of a fleet without declared placement.
	It("sends no orders if the configuration has no placement section", func() {
		f := startWith(placementConfig(), spareEngine)
		Consistently(f.engine.Orders, 3*time.Second).Should(BeEmpty())
		var s operator.Status
		Expect(operator.NewClient([]string{f.instance.OperatorAddress()}).Get(context.Background(), operator.PathStatus, &s)).To(Succeed())
		Expect(s.Placement).To(BeNil())
	})
})
