package proving

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/standin/engine"
)

// placementConfig declares enough models that an order is due every half second for longer than
// the spec runs.
func placementConfig() string {
	var pools strings.Builder
	for n := range 100 {
		fmt.Fprintf(&pools, "  m%02d: {kind: engine, servers_per_domain: 1, weight_bytes: 500}\n", n)
	}
	return config + pools.String() +
		"placement: {loads_at_once: 50, bytes_per_second: 1000, models_per_engine: 64, settle: 100ms}\n"
}

// orders returns the orders that the engines received, oldest first.
func (f *fleet) orders() []engine.Order {
	var all []engine.Order
	for i := 1; i <= f.fleetSpec.engines; i++ {
		response, err := http.Get("http://" + f.engineAddress(i) + "/standin/orders")
		Expect(err).NotTo(HaveOccurred())
		var o engine.Orders
		err = json.NewDecoder(response.Body).Decode(&o)
		_ = response.Body.Close()
		Expect(err).NotTo(HaveOccurred())
		all = append(all, o.Orders...)
	}
	slices.SortFunc(all, func(a, b engine.Order) int { return a.At.Compare(b.At) })
	return all
}

// highestToken returns the highest fencing token that any engine received.
func (f *fleet) highestToken() uint64 {
	newest := uint64(0)
	for _, o := range f.orders() {
		newest = max(newest, o.Fence)
	}
	return newest
}

// staleOrders returns the orders that arrived after an order with a higher fencing token.
func (f *fleet) staleOrders() []engine.Order {
	var out []engine.Order
	newest := uint64(0)
	for _, o := range f.orders() {
		if o.Fence < newest {
			out = append(out, o)
		}
		newest = max(newest, o.Fence)
	}
	return out
}

// placementHolder returns the holder and the epoch of the placement lease, as the observer sees
// them; both are zero values if it does not know them.
func (f *fleet) placementHolder(observer int) (holder string, epoch uint64) {
	s, err := f.status(observer)
	if err != nil {
		return "", 0
	}
	for _, l := range s.Leases {
		if l.Name == "placement" {
			return l.Holder, l.Epoch
		}
	}
	return "", 0
}

// otherThan returns the number of an instance that is not the given one.
func (f *fleet) otherThan(name string) int {
	for i := 1; i <= f.fleetSpec.instances; i++ {
		if instanceID(i) != name {
			return i
		}
	}
	return 0
}

var _ = Describe("a paused holder of the placement lease", func() {
	// Guards against a holder that resumes after a long pause and sends orders in parallel
	// with its successor, to engines that do not check fencing tokens.
	It("sends no order after its successor has sent one", func() {
		s := smallSpec()
		s.domains, s.engines, s.config = 1, 3, placementConfig()
		s.engineFlags = []string{"--model", "-", "--load-time", "100ms"}
		f := newFleet(s)
		for range 3 {
			var old string
			Eventually(func() bool {
				holder, epoch := f.placementHolder(1)
				old = holder
				return holder != "" && epoch == f.highestToken()
			}, startTimeout).Should(BeTrue())
			before := f.highestToken()
			observer := f.otherThan(old)
			GinkgoWriter.Printf("%s stop %s, epoch %d\n", time.Now().Format(time.TimeOnly), old, before)
			f.instances[old].signal(syscall.SIGSTOP)
			Eventually(f.highestToken, startTimeout).Should(BeNumerically(">", before), "the successor sends an order")
			f.instances[old].signal(syscall.SIGCONT)
			Eventually(func() string {
				holder, _ := f.placementHolder(instanceNumber(old))
				return holder
			}, startTimeout).ShouldNot(Or(BeEmpty(), Equal(old)))
			holder, epoch := f.placementHolder(observer)
			GinkgoWriter.Printf("%s %s holds the lease, epoch %d\n", time.Now().Format(time.TimeOnly), holder, epoch)
			Consistently(f.staleOrders, time.Second).Should(BeEmpty())
		}
		for _, o := range f.orders() {
			Expect(o.Outcome).To(Equal(engine.OrderAccepted), "an engine gets one order at a time")
		}
	})
})
