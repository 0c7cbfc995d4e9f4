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

// settableConfig is a configuration service whose configuration the test sets.
type settableConfig struct {
	*fakeService
	sink func(*model.Config)
}

func (c *settableConfig) Subscribe(sink func(*model.Config)) { c.sink = sink }

// settableMembers is a members service whose view the test sets.
type settableMembers struct {
	*fakeService
	sink func(*model.View)
}

func (v *settableMembers) Subscribe(sink func(*model.View)) { v.sink = sink }

var _ = Describe("the readiness", func() {
	// Guards against callers being directed to an instance that refuses them, and against a
	// supervisor that restarts an instance which only waits for the control group.
	DescribeTable("follows the address list and is independent of the health",
		func(config *model.Config, instances []model.Instance, unhealthy map[string]error, status int, reason string, health int) {
			configs := &settableConfig{fakeService: &fakeService{name: port.ConfigName}}
			members := &settableMembers{fakeService: &fakeService{name: port.MembersName}}
			s := frontoperator.New(event.New(slog.New(slog.NewTextHandler(io.Discard, nil))), metric.NewSet(), frontoperator.Options{
				Address: "127.0.0.1:0", Instance: "i1", Health: func() map[string]error { return unhealthy }, Drain: func() {},
			})
			k := kernel.New(func(error) {})
			for _, service := range []kernel.Service{members, configs, fakePlacement{&fakeService{name: port.PlacementName}}, &fakeService{name: port.ControlClientName}, s} {
				Expect(k.Register(service)).To(Succeed())
			}
			Expect(k.Start(context.Background())).To(Succeed())
			DeferCleanup(func() { Expect(k.Stop(context.Background())).To(Succeed()) })
			members.sink(&model.View{Instances: instances})
			if config != nil {
				configs.sink(config)
			}
			statusOf := func(path string) int {
				response, err := http.Get("http://" + s.Address() + path)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Body.Close()).To(Succeed())
				return response.StatusCode
			}
			Expect(statusOf(operator.PathReady)).To(Equal(status))
			Expect(statusOf(operator.PathHealth)).To(Equal(health))
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
