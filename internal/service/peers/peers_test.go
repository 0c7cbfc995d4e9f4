package peers_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/peers"
	"briaryard/internal/standin/relay"
)

// intCodec is a codec for messages that are integers.
type intCodec struct{}

func (intCodec) Encode(body any) ([]byte, error) {
	return binary.AppendUvarint(nil, uint64(body.(int))), nil
}

func (intCodec) Decode(data []byte) (any, error) {
	v, _ := binary.Uvarint(data)
	return int(v), nil
}

// testInstance is the peers service of one instance. It records the received integers and status reports.
type testInstance struct {
	service *peers.Service
	kernel  *kernel.Kernel
	log     *event.Log

	mu           sync.Mutex
	receivedInts []int
	statuses     []port.PeerStatus
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startInstance(t *testing.T, id string, incarnation model.Incarnation, token string, l net.Listener, advertise string, seeds ...string) *testInstance {
	t.Helper()
	return startInstanceWith(t, peers.Options{
		Self:     model.Instance{ID: model.InstanceID(id), Incarnation: incarnation, PeerAddress: advertise},
		Listener: l, Peers: seeds, Token: token,
	})
}

func startInstanceWith(t *testing.T, o peers.Options) *testInstance {
	t.Helper()
	n := &testInstance{log: event.New(slog.New(slog.DiscardHandler))}
	n.service = peers.New(n.log, o)
	n.service.Handle("numbers", intCodec{}, func(m port.PeerMessage) error {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.receivedInts = append(n.receivedInts, m.Body.(int))
		return nil
	})
	n.service.SubscribeStatus(func(s port.PeerStatus) error {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.statuses = append(n.statuses, s)
		return nil
	})
	n.kernel = kernel.New(func(err error) { t.Error(err) })
	if err := n.kernel.Register(n.service); err != nil {
		t.Fatal(err)
	}
	if err := n.kernel.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.stop)
	return n
}

func (n *testInstance) stop() { _ = n.kernel.Stop(context.Background()) }

func (n *testInstance) count(state port.PeerState) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := 0
	for _, s := range n.statuses {
		if s.State == state {
			c++
		}
	}
	return c
}

func (n *testInstance) received() []int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]int(nil), n.receivedInts...)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("did not happen: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// sendAll sends the integers from "from" up to but not including "until"; it retries while the
// ring is full.
func (n *testInstance) sendAll(t *testing.T, to model.InstanceID, from, until int) {
	t.Helper()
	for i := from; i < until; i++ {
		eventually(t, "room to send", func() bool { return n.service.Send(to, "numbers", i) == nil })
	}
}

func wantSequence(t *testing.T, n *testInstance, until int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d messages", until), func() bool { return len(n.received()) >= until })
	for i, v := range n.received() {
		if v != i {
			t.Fatalf("message %d is %d: lost, repeated or out of order", i, v)
		}
	}
}

// Guards against lost, repeated or reordered messages when both sides dial at once, when
// connections are reset, and when they go silent in one or both directions.
func TestMessagesArriveOnceInOrder(t *testing.T) {
	la, lb := listen(t), listen(t)
	toB, err := relay.New(lb.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer toB.Close()
	toA, err := relay.New(la.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer toA.Close()
	a := startInstance(t, "a", 1, "secret", la, toA.Address(), toB.Address())
	b := startInstance(t, "b", 1, "secret", lb, toB.Address(), toA.Address())
	eventually(t, "connection", func() bool { return a.count(port.PeerUp) > 0 && b.count(port.PeerUp) > 0 })
	disruptions := []func(){
		func() { toA.Reset(); toB.Reset() },
		func() { toA.Freeze(relay.ToTarget); toB.Freeze(relay.ToTarget) },
		func() { toA.Freeze(relay.FromTarget); toB.Freeze(relay.FromTarget) },
		func() { toA.Freeze(relay.Both); toB.Freeze(relay.Both) },
	}
	const step = 300
	for i, d := range disruptions {
		var both sync.WaitGroup
		for _, pair := range []struct {
			from *testInstance
			to   model.InstanceID
		}{{a, "b"}, {b, "a"}} {
			both.Go(func() { pair.from.sendAll(t, pair.to, i*step, (i+1)*step) })
		}
		d()
		both.Wait()
		wantSequence(t, a, (i+1)*step)
		wantSequence(t, b, (i+1)*step)
	}
}

// Guards against two instances that keep replacing each other's connection.
func TestSimultaneousConnectionsSettle(t *testing.T) {
	la, lb := listen(t), listen(t)
	a := startInstance(t, "a", 1, "secret", la, "", lb.Addr().String())
	b := startInstance(t, "b", 1, "secret", lb, "", la.Addr().String())
	eventually(t, "connection", func() bool { return a.count(port.PeerUp) > 0 && b.count(port.PeerUp) > 0 })
	time.Sleep(3 * time.Second)
	if ups := a.count(port.PeerUp); ups > 3 {
		t.Fatalf("the connection was replaced %d times", ups)
	}
	a.sendAll(t, "b", 0, 10)
	wantSequence(t, b, 10)
}

// Guards against messages that reach a later incarnation than they were meant for, and against
// message ids that do not start again after a restart.
func TestRestartedPeerStartsAnew(t *testing.T) {
	la, lb := listen(t), listen(t)
	address := lb.Addr().String()
	a := startInstance(t, "a", 1, "secret", la, "")
	b := startInstance(t, "b", 1, "secret", lb, "", la.Addr().String())
	eventually(t, "connection", func() bool { return a.count(port.PeerUp) > 0 })
	a.sendAll(t, "b", 0, 5)
	wantSequence(t, b, 5)
	b.stop()
	eventually(t, "loss", func() bool { return a.count(port.PeerDown) > 0 })
	a.sendAll(t, "b", 100, 110)
	l2, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	b2 := startInstance(t, "b", 2, "secret", l2, "", la.Addr().String())
	eventually(t, "connection", func() bool { return a.count(port.PeerUp) > 1 })
	a.sendAll(t, "b", 0, 5)
	wantSequence(t, b2, 5)
}

// Guards against a connection to an instance that has the token of another fleet.
func TestWrongTokenIsRefused(t *testing.T) {
	la, lb := listen(t), listen(t)
	a := startInstance(t, "a", 1, "secret", la, "")
	b := startInstance(t, "b", 1, "other", lb, "", la.Addr().String())
	refusal := func(r event.Record) bool {
		return r.Event == event.PeerRefused.Name && r.Fields["reason"] == string(fault.RefusedToken)
	}
	eventually(t, "refusal on both sides", func() bool {
		return len(a.log.Recent(refusal)) > 0 && len(b.log.Recent(refusal)) > 0
	})
	if a.count(port.PeerUp)+b.count(port.PeerUp) > 0 {
		t.Fatal("a connection with a wrong token was used")
	}
}

// Guards against a process whose clock went back between two starts and whose incarnation is
// therefore lower than the one that the fleet knows.
func TestLowIncarnationIsRaised(t *testing.T) {
	la, lb := listen(t), listen(t)
	a := startInstance(t, "a", 1, "secret", la, "")
	old := startInstance(t, "b", 50, "secret", lb, "", la.Addr().String())
	eventually(t, "connection", func() bool { return a.count(port.PeerUp) > 0 })
	old.stop()
	again := startInstance(t, "b", 7, "secret", listen(t), "", la.Addr().String())
	if _, incarnation := again.service.Self(); incarnation <= 50 {
		t.Fatalf("incarnation is %d, want more than 50", incarnation)
	}
}

// Guards against two processes of an instance that are raised above the same known incarnation, for example while
// those that know the first one are cut off: requests of the second would have the ids of the first one's.
func TestProcessesAreNotRaisedToTheSameIncarnation(t *testing.T) {
	raised := make(map[model.Incarnation]bool)
	for range 2 {
		la, lb := listen(t), listen(t)
		a := startInstance(t, "a", 1, "secret", la, "")
		old := startInstance(t, "b", 50, "secret", lb, "", la.Addr().String())
		eventually(t, "connection", func() bool { return a.count(port.PeerUp) > 0 })
		old.stop()
		again := startInstance(t, "b", 7, "secret", listen(t), "", la.Addr().String())
		_, incarnation := again.service.Self()
		raised[incarnation] = true
	}
	if len(raised) != 2 {
		t.Fatalf("both processes have the incarnation of %v", raised)
	}
}
