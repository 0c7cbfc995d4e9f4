package frontoperator_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/operator"
	"briaryard/internal/port"
	"briaryard/internal/service/frontoperator"
)

func TestFrontOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "frontoperator")
}

// fakeService is a fake of the members, config, placement and control client services.
type fakeService struct {
	name string
	port.Members
	port.ControlClient
	reply  port.ControlReply
	config func(state.AcceptedConfig)
	// machine answers reads if it is set.
	machine *state.Machine
}

func (f *fakeService) Name() string                                    { return f.name }
func (f *fakeService) Needs() []string                                 { return nil }
func (f *fakeService) Provision(kernel.Resolver) error                 { return nil }
func (f *fakeService) Start(*kernel.Host) error                        { return nil }
func (f *fakeService) Stop(context.Context) error                      { return nil }
func (f *fakeService) SubscribeLeases(func([]port.Lease))              {}
func (f *fakeService) SubscribeConfig(sink func(state.AcceptedConfig)) { f.config = sink }
func (f *fakeService) Do(c state.Command, reply func(port.ControlReply)) error {
	if f.machine != nil {
		r, _ := f.machine.Read(c)
		reply(port.ControlReply{Result: r})
		return nil
	}
	reply(f.reply)
	return nil
}
func (f *fakeService) ChangeVoters(_ port.VoterChange, reply func(port.ControlReply)) error {
	reply(f.reply)
	return nil
}

type fakeMembers struct{ *fakeService }

func (fakeMembers) Subscribe(func(*model.View)) {}

type fakePlacement struct{ *fakeService }

func (fakePlacement) SubscribePlacement(func(port.PlacementStatus)) {}

type fakeConfig struct{ *fakeService }

func (fakeConfig) Subscribe(func(*model.Config)) {}

// serve starts the endpoint with a control client and returns a client for it.
func serve(control *fakeService) *operator.Client {
	GinkgoHelper()
	s := frontoperator.New(event.New(slog.New(slog.NewTextHandler(io.Discard, nil))), metric.NewSet(), frontoperator.Options{
		Address: "127.0.0.1:0", Instance: "i1", Health: func() map[string]error { return nil }, Drain: func() {},
	})
	k := kernel.New(func(error) {})
	for _, service := range []kernel.Service{fakeMembers{&fakeService{name: port.MembersName}}, fakeConfig{&fakeService{name: port.ConfigName}}, fakePlacement{&fakeService{name: port.PlacementName}}, control, s} {
		Expect(k.Register(service)).To(Succeed())
	}
	Expect(k.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { Expect(k.Stop(context.Background())).To(Succeed()) })
	return operator.NewClient([]string{s.Address()})
}

var change = operator.Apply{ChangeID: "c", Operator: "o", Content: "teams: {a: {}}"}

var _ = Describe("a change", func() {
	// Guards against a lost answer being reported as a refusal, although the change may be in force.
	It("is answered may_have_run when the control group does not answer", func() {
		client := serve(&fakeService{name: port.ControlClientName, reply: port.ControlReply{Err: &fault.ControlUnavailable{}}})
		err := client.Post(context.Background(), operator.PathConfig, change, &operator.Applied{})
		Expect(fault.Of(err).Code()).To(Equal(fault.CodeControlUnavailable))
		Expect(fault.MappingOf(fault.Of(err)).RunState).To(Equal(model.MayHaveRun))
	})

	It("passes on the typed refusal of the control group", func() {
		refusal := state.Result{Err: &fault.ChangeReused{ChangeID: "c"}}
		client := serve(&fakeService{name: port.ControlClientName, reply: port.ControlReply{Result: refusal}})
		err := client.Post(context.Background(), operator.PathConfig, change, &operator.Applied{})
		Expect(fault.Of(err).Code()).To(Equal(fault.CodeChangeReused))
	})

	DescribeTable("is refused before it reaches the control group",
		func(a operator.Apply) {
			client := serve(&fakeService{name: port.ControlClientName})
			Expect(fault.Of(client.Post(context.Background(), operator.PathConfig, a, &operator.Applied{})).Code()).
				To(Equal(fault.CodeInvalidRequest))
		},
		Entry("without an id", operator.Apply{Operator: "o"}),
		Entry("without an operator", operator.Apply{ChangeID: "c"}),
	)

	It("of the voters is sent to a control client that supports it", func() {
		client := serve(&fakeService{name: port.ControlClientName})
		var answer operator.VoterChange
		Expect(client.Post(context.Background(), operator.PathVoters, operator.VoterChange{Instance: "i2"}, &answer)).To(Succeed())
		Expect(answer.Instance).To(Equal("i2"))
	})
})

var _ = Describe("the history", func() {
	// Guards against a partial list that looks complete, which misleads an operator who looks for a
	// change.
	It("says that it is incomplete when the control group does not answer", func() {
		control := &fakeService{name: port.ControlClientName, reply: port.ControlReply{Err: &fault.ControlUnavailable{}}}
		client := serve(control)
		for r := range model.Revision(3) {
			control.config(state.AcceptedConfig{Revision: r + 5, ChangeID: "c"})
		}
		control.config(state.AcceptedConfig{Revision: 6, ChangeID: "late"})
		var h operator.History
		Expect(client.Get(context.Background(), operator.PathHistory, &h)).To(Succeed())
		Expect(h.Complete).To(BeFalse())
		Expect(h.Changes).To(HaveLen(3))
	})

	// Guards against a history that ends with the first page, or that duplicates or drops a change
	// between two pages.
	It("is read in pages from the control group", func() {
		control := &fakeService{name: port.ControlClientName, machine: state.NewMachine(state.DefaultLimits())}
		const accepted = 2*state.ChangesPerPage + 3
		for r := range model.Revision(accepted) {
			control.machine.Apply(uint64(r+1), time.Unix(1, 0), state.ApplyConfig{ChangeID: fmt.Sprint(r + 1), Base: r, Number: r + 1, Operator: "o"})
		}
		client := serve(control)
		var h operator.History
		Expect(client.Get(context.Background(), operator.PathHistory, &h)).To(Succeed())
		Expect(h.Complete).To(BeTrue())
		Expect(h.Changes).To(HaveLen(accepted))
		for k, c := range h.Changes {
			Expect(c.Revision).To(Equal(uint64(k + 1)))
			Expect(c.ChangeID).To(Equal(fmt.Sprint(k + 1)))
		}
	})
})
