package referral_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/referral"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// standIn is a service without duties.
type standIn struct{ name string }

func (s standIn) Name() string                  { return s.name }
func (standIn) Needs() []string                 { return nil }
func (standIn) Provision(kernel.Resolver) error { return nil }
func (standIn) Start(*kernel.Host) error        { return nil }
func (standIn) Stop(context.Context) error      { return nil }

// peers records what the service sends.
type peers struct {
	standIn
	port.Peers
	port.PeerLinks
	deliver func(port.PeerMessage) error
	status  func(port.PeerStatus) error
	sent    chan any
}

func (p *peers) Handle(_ string, _ port.Codec, sink func(port.PeerMessage) error) { p.deliver = sink }
func (p *peers) SubscribeStatus(sink func(port.PeerStatus) error)                 { p.status = sink }
func (p *peers) Send(_ model.InstanceID, _ string, body any) error {
	p.sent <- body
	return nil
}

type client struct {
	standIn
	members func(port.ControlMembers)
}

func (c *client) SubscribeMembers(sink func(port.ControlMembers)) { c.members = sink }

// Guards against an instance that says nothing to those who take it for a member of the control group, or that
// answers as if it led: they must learn of the members and ask on.
func TestTheMembersAreNamedToWhoeverAsks(t *testing.T) {
	g := NewWithT(t)
	p := &peers{standIn: standIn{port.PeersName}, sent: make(chan any, 10)}
	c := &client{standIn: standIn{port.ControlClientName}}
	k := kernel.New(func(err error) { t.Error(err) })
	for _, s := range []kernel.Service{p, c, referral.New(nil)} {
		g.Expect(k.Register(s)).To(Succeed())
	}
	g.Expect(k.Start(context.Background())).To(Succeed())
	defer func() { g.Expect(k.Stop(context.Background())).To(Succeed()) }()
	heartbeat := func(seq uint64) any {
		g.Expect(p.deliver(port.PeerMessage{From: "e", Body: port.Heartbeat{Seq: seq, Instance: "e"}})).To(Succeed())
		var answer any
		g.Eventually(p.sent, 20*time.Second).Should(Receive(&answer))
		return answer
	}
	g.Expect(heartbeat(1)).To(Equal(port.HeartbeatReply{Seq: 1, NotLeader: true}))
	g.Expect(p.status(port.PeerStatus{Instance: model.Instance{ID: "m2", Voter: true}, State: port.PeerUp})).To(Succeed())
	c.members(port.ControlMembers{Instances: []model.InstanceID{"m1"}})
	g.Expect(heartbeat(2)).To(Equal(port.HeartbeatReply{Seq: 2, NotLeader: true, Voters: []model.InstanceID{"m1", "m2"}}))
	g.Expect(p.deliver(port.PeerMessage{From: "e", Body: port.CommandRequest{ID: 7}})).To(Succeed())
	g.Eventually(p.sent, 20*time.Second).Should(Receive(Equal(port.CommandReply{ID: 7, NotLeader: true})))
}
