package frontoperator_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/operator"
	"briaryard/internal/port"
	"briaryard/internal/service/frontoperator"
)

// inForce is a configuration service whose configuration the test sets.
type inForce struct {
	*fleet
	sink func(*model.Config)
}

func (c *inForce) Subscribe(sink func(*model.Config)) { c.sink = sink }

// viewed is a members service whose view the test sets.
type viewed struct {
	*fleet
	sink func(*model.View)
}

func (v *viewed) Subscribe(sink func(*model.View)) { v.sink = sink }

var _ = Describe("the readiness", func() {
	// Guards against callers that are sent to an instance which refuses them, and against a
	// supervisor that restarts an instance which only waits for the control group.
	DescribeTable("follows the address list and is apart from the health",
		func(config *model.Config, instances []model.Instance, unhealthy map[string]error, status int, reason string, health int) {
			configs := &inForce{fleet: &fleet{name: port.ConfigName}}
			members := &viewed{fleet: &fleet{name: port.MembersName}}
			s := frontoperator.New(event.New(slog.New(slog.NewTextHandler(io.Discard, nil))), metric.NewSet(), frontoperator.Options{
				Address: "127.0.0.1:0", Instance: "i1", Health: func() map[string]error { return unhealthy }, Drain: func() {},
			})
			k := kernel.New(func(error) {})
			for _, service := range []kernel.Service{members, configs, placements{&fleet{name: port.PlacementName}}, &fleet{name: port.ControlClientName}, s} {
				Expect(k.Register(service)).To(Succeed())
			}
			Expect(k.Start(context.Background())).To(Succeed())
			DeferCleanup(func() { Expect(k.Stop(context.Background())).To(Succeed()) })
			members.sink(&model.View{Instances: instances})
			if config != nil {
				configs.sink(config)
			}
			answered := func(path string) int {
				response, err := http.Get("http://" + s.Address() + path)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Body.Close()).To(Succeed())
				return response.StatusCode
			}
			Expect(answered(operator.PathReady)).To(Equal(status))
			Expect(answered(operator.PathHealth)).To(Equal(health))
			var r operator.Readiness
			Expect(operator.NewClient([]string{s.Address()}).Get(context.Background(), operator.PathReady, &r)).To(Succeed())
			Expect(r.Reason).To(Equal(reason))
			Expect(r.Ready).To(Equal(status == 200))
		},
		Entry("serving", &model.Config{Revision: 1}, []model.Instance{{ID: "i1"}}, nil, 200, "", 200),
		Entry("withdrawn", &model.Config{Revision: 1}, []model.Instance{{ID: "i2"}, {ID: "i1", Withdrawn: true}}, nil, 503, operator.ReasonWithdrawn, 200),
		Entry("stopping", &model.Config{Revision: 1}, []model.Instance{{ID: "i1", State: model.Leaving}}, nil, 503, operator.ReasonLeaving, 200),
		Entry("starting", &model.Config{Revision: 1}, []model.Instance{{ID: "i2"}}, nil, 503, operator.ReasonStarting, 200),
		Entry("without a configuration", nil, []model.Instance{{ID: "i1"}}, nil, 503, operator.ReasonStarting, 200),
		Entry("serving beside a failed voter", &model.Config{Revision: 1}, []model.Instance{{ID: "i1"}}, map[string]error{"control": io.EOF}, 200, "", 503),
	)
})
