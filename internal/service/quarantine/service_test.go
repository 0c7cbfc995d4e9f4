package quarantine

import (
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/quarantine"
	"briaryard/internal/event"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/wire/routedwire"
)

var start = time.Unix(1000, 0)

// network passes messages between services, through the codec, while the path between them is up.
type network struct {
	t        *testing.T
	services map[model.InstanceID]*Service
	cut      map[[2]model.InstanceID]bool
	queue    []func()
	sent     int
	now      time.Time
}

// fakePeers sends the messages of one instance.
type fakePeers struct {
	port.Peers
	self    model.InstanceID
	network *network
}

func (p *fakePeers) Send(to model.InstanceID, _ string, body any) error {
	n := p.network
	if n.cut[[2]model.InstanceID{p.self, to}] || n.services[to] == nil {
		return nil
	}
	data, err := routedwire.Codec{}.Encode(body)
	if err != nil {
		return err
	}
	n.sent++
	n.queue = append(n.queue, func() {
		decoded, err := routedwire.Codec{}.Decode(data)
		if err != nil {
			n.t.Error(err)
			return
		}
		if s := n.services[to]; s != nil {
			s.handle(n.now, port.PeerMessage{From: p.self, Body: decoded})
		}
	})
	return nil
}

// deliver delivers all messages, and those that they cause.
func (n *network) deliver(now time.Time) {
	n.now = now
	for range 20 {
		for _, s := range n.services {
			s.onTick(now)
		}
		queue := n.queue
		n.queue = nil
		for _, message := range queue {
			message()
		}
	}
}

// add starts a service and connects it with the others.
func (n *network) add(id model.InstanceID, core bool, cores ...model.InstanceID) *Service {
	n.t.Helper()
	log, err := event.NewStream(io.Discard, "info")
	if err != nil {
		n.t.Fatal(err)
	}
	s := New(log, metric.NewSet(), core)
	s.peers = &fakePeers{self: id, network: n}
	n.services[id] = s
	s.handle(start, coreChanged{cores})
	for other, o := range n.services {
		if other != id && (core || o.core) {
			n.connect(id, other)
		}
	}
	if !core {
		s.handle(start, sourcesChanged{cores})
	}
	return s
}

func (n *network) connect(a, b model.InstanceID) {
	for _, state := range []port.PeerState{port.PeerUp, port.PeerReset} {
		n.services[a].handle(start, port.PeerStatus{Instance: model.Instance{ID: b}, State: state})
		n.services[b].handle(start, port.PeerStatus{Instance: model.Instance{ID: a}, State: state})
	}
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, services: make(map[model.InstanceID]*Service), cut: make(map[[2]model.InstanceID]bool)}
}

func crash(server int) quarantine.Sighting {
	return quarantine.Sighting{
		Parts: []model.PromptPart{"first", "dead"}, SentAt: start.Add(time.Duration(server)*time.Second - 100*time.Millisecond), Crash: quarantine.CrashID{Server: model.BackendServerID(fmt.Sprint("s", server)), Incarnation: 1},
	}
}

func holds(s *Service) bool {
	_, ok := s.ledger.View().Held([]model.PromptPart{"first", "dead"})
	return ok
}

// fleet is a network of two core instances and four others.
func fleet(t *testing.T) *network {
	n := newNetwork(t)
	cores := []model.InstanceID{"c1", "c2"}
	for _, id := range cores {
		n.add(id, true, cores...)
	}
	for i := range 4 {
		n.add(model.InstanceID(fmt.Sprint("e", i)), false, cores...)
	}
	n.deliver(start)
	return n
}

// crash lets an instance see the crash of a server at a time.
func (n *network) crash(id model.InstanceID, server int) {
	n.services[id].handle(start.Add(time.Duration(server)*time.Second), crash(server))
	n.deliver(start.Add(time.Duration(server) * time.Second))
}

// Guards against evidence that does not reach the instances that did not see it themselves.
func TestEachInstanceLearnsWhatTheOthersHaveSeen(t *testing.T) {
	g := NewWithT(t)
	n := fleet(t)
	for i := range 3 {
		n.crash(model.InstanceID(fmt.Sprint("e", i)), i)
	}
	for id, s := range n.services {
		g.Expect(holds(s)).To(BeTrue(), string(id))
	}
	n.services["e3"].handle(start.Add(5*time.Second), quarantine.Sighting{Parts: []model.PromptPart{"first", "dead"}})
	n.deliver(start.Add(5 * time.Second))
	for id, s := range n.services {
		g.Expect(holds(s)).To(BeFalse(), string(id))
	}
}

// Guards against a restarted instance that sends harmful requests again, and against evidence that is lost
// with the core instances.
func TestRestartedInstancesLearnTheEvidenceAgain(t *testing.T) {
	g := NewWithT(t)
	n := fleet(t)
	for i := range 3 {
		n.crash("e0", i)
	}
	delete(n.services, "e1")
	n.add("e1", false, "c1", "c2")
	n.deliver(start.Add(4 * time.Second))
	g.Expect(holds(n.services["e1"])).To(BeTrue(), "an instance that takes requests")
	for _, id := range []model.InstanceID{"c1", "c2", "e0"} {
		delete(n.services, id)
	}
	n.add("c1", true, "c1", "c2")
	n.deliver(start.Add(5 * time.Second))
	g.Expect(holds(n.services["c1"])).To(BeTrue(), "a core instance, from the others")
	n.add("e0", false, "c1", "c2")
	n.deliver(start.Add(6 * time.Second))
	g.Expect(holds(n.services["e0"])).To(BeTrue())
}

// Guards against messages that go round, and against those that repeat what the receiver has.
func TestAChangeIsSentABoundedNumberOfTimes(t *testing.T) {
	g := NewWithT(t)
	n := fleet(t)
	n.sent = 0
	n.crash("e0", 1)
	first := n.sent
	// Two from the instance, one between the core instances each way, and one from each to the three others,
	// which pass it on to the other core instance.
	g.Expect(first).To(BeNumerically("<=", 2+2+2*3+2*3))
	n.deliver(start.Add(time.Minute))
	g.Expect(n.sent).To(Equal(first))
}

// Guards against an instance that stops deciding while no core instance can be reached.
func TestAnInstanceAloneUsesWhatItHasSeen(t *testing.T) {
	g := NewWithT(t)
	n := fleet(t)
	for _, core := range []model.InstanceID{"c1", "c2"} {
		n.cut[[2]model.InstanceID{"e0", core}], n.cut[[2]model.InstanceID{core, "e0"}] = true, true
	}
	for i := range 3 {
		n.crash("e0", i)
	}
	g.Expect(holds(n.services["e0"])).To(BeTrue())
	g.Expect(holds(n.services["e1"])).To(BeFalse())
	clear(n.cut)
	n.connect("e0", "c1")
	n.deliver(start.Add(4 * time.Second))
	for id, s := range n.services {
		g.Expect(holds(s)).To(BeTrue(), string(id))
	}
}
