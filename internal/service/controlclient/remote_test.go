package controlclient_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/service/controlclient"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 20 * time.Second

// fakeVoters is a fake of the peers service and the control group: v2 is the leader and has the
// replicated state, and v1 is not the leader. Messages pass through the codec as between instances.
type fakeVoters struct {
	mu      sync.Mutex
	codec   port.Codec
	sink    func(port.PeerMessage) error
	machine *state.Machine
	// silent makes the voters drop every message.
	silent bool
	// loseReplies is the number of command replies still to be dropped.
	loseReplies int
	requests    map[uint64]int
	stopping    bool
}

func (v *fakeVoters) Name() string                                { return port.PeersName }
func (v *fakeVoters) Needs() []string                             { return nil }
func (v *fakeVoters) Provision(kernel.Resolver) error             { return nil }
func (v *fakeVoters) Start(*kernel.Host) error                    { return nil }
func (v *fakeVoters) Stop(context.Context) error                  { return nil }
func (v *fakeVoters) Self() (model.InstanceID, model.Incarnation) { return "me", 3 }

func (v *fakeVoters) Handle(_ string, codec port.Codec, sink func(port.PeerMessage) error) {
	v.codec, v.sink = codec, sink
}

func (v *fakeVoters) Send(to model.InstanceID, service string, body any) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	data, err := v.codec.Encode(body)
	if err != nil || service != port.ControlName {
		return err
	}
	if body, err = v.codec.Decode(data); err != nil {
		return err
	}
	if v.silent {
		return nil
	}
	if reply := v.answer(to, body); reply != nil {
		return v.sink(port.PeerMessage{From: to, Body: reply})
	}
	return nil
}

func (v *fakeVoters) answer(to model.InstanceID, body any) any {
	switch b := body.(type) {
	case port.CommandRequest:
		if to != "v2" {
			return port.CommandReply{ID: b.ID, NotLeader: true, Leader: "v2"}
		}
		v.requests[b.ID]++
		r := v.machine.Apply(v.machine.Applied()+1, time.Now(), b.Command)
		if v.loseReplies > 0 {
			v.loseReplies--
			return nil
		}
		return port.CommandReply{ID: b.ID, Result: r}
	case port.Heartbeat:
		if to != "v2" {
			return port.HeartbeatReply{Seq: b.Seq, NotLeader: true, Leader: "v2"}
		}
		v.stopping = b.Stopping
		r := port.HeartbeatReply{Seq: b.Seq, Revision: v.machine.Config().Revision, Voters: []model.InstanceID{"v1", "v2"}}
		for _, l := range v.machine.Leases() {
			r.Leases = append(r.Leases, l)
		}
		if c := v.machine.Config(); c.Revision > b.Revision {
			r.Config = &c
		}
		return r
	}
	return nil
}

type client struct {
	*controlclient.Remote
	voters    *fakeVoters
	stop      func()
	leases    chan []port.Lease
	confirmed chan bool
	configs   chan state.AcceptedConfig
}

func startClient(t *testing.T, v *fakeVoters) *client {
	t.Helper()
	v.machine = state.NewMachine(state.DefaultLimits())
	v.requests = make(map[uint64]int)
	log := event.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	c := &client{
		Remote: controlclient.NewRemote(log, controlclient.RemoteOptions{Voters: []model.InstanceID{"v1"}, ConfirmWithin: 5 * time.Second}), voters: v,
		leases: make(chan []port.Lease, 1000), confirmed: make(chan bool, 1000), configs: make(chan state.AcceptedConfig, 1000),
	}
	c.SubscribeLeases(func(l []port.Lease) { c.leases <- l })
	c.SubscribeConfirmed(func(ok bool) { c.confirmed <- ok })
	c.SubscribeConfig(func(a state.AcceptedConfig) { c.configs <- a })
	k := kernel.New(func(err error) { t.Error(err) })
	for _, s := range []kernel.Service{c.Remote, v} {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	c.stop = sync.OnceFunc(func() { _ = k.Stop(context.Background()) })
	t.Cleanup(c.stop)
	return c
}

func receive[T any](t *testing.T, from <-chan T, want func(T) bool) T {
	t.Helper()
	limit := time.After(waitLimit)
	for {
		select {
		case v := <-from:
			if want(v) {
				return v
			}
		case <-limit:
			t.Fatal("nothing arrived in time")
		}
	}
}

func anyReply(port.ControlReply) bool { return true }

// Guards against an operator who gets a conflict with their own change because the first answer was
// lost.
func TestResentChangeGetsItsFirstAnswer(t *testing.T) {
	c := startClient(t, &fakeVoters{loseReplies: 2})
	replies := make(chan port.ControlReply, 10)
	change := state.ApplyConfig{ChangeID: "c1", Number: 1, Operator: "ana", Content: []byte("x")}
	if err := c.Do(change, func(r port.ControlReply) { replies <- r }); err != nil {
		t.Fatal(err)
	}
	r := receive(t, replies, anyReply)
	if r.Err != nil || r.Result.Err != nil || r.Result.Revision != 1 {
		t.Fatalf("got %+v, want revision 1", r)
	}
	if a := receive(t, c.configs, func(state.AcceptedConfig) bool { return true }); a.ChangeID != "c1" {
		t.Fatalf("published %+v", a)
	}
	if <-c.confirmed {
		t.Fatal("confirmed before any answer")
	}
	c.ConfirmConfig(1)
	receive(t, c.confirmed, func(ok bool) bool { return ok })
	c.stop()
	if len(c.voters.requests) != 1 || len(replies) != 0 {
		t.Fatalf("requests by id %v and %d more replies, want one id and none", c.voters.requests, len(replies))
	}
}

// Guards against an unbounded number of waiting commands, and against commands that end
// without an answer when the instance stops.
func TestWaitingCommandsAreBoundedAndEndWithTheService(t *testing.T) {
	c := startClient(t, &fakeVoters{silent: true})
	var mu sync.Mutex
	answers := make(map[int]int)
	accepted := 0
	for i := range 10_000 {
		err := c.Do(state.Await{}, func(r port.ControlReply) {
			var unavailable *fault.ControlUnavailable
			if !errors.As(r.Err, &unavailable) {
				t.Errorf("got %+v, want ControlUnavailable", r)
			}
			mu.Lock()
			answers[i]++
			mu.Unlock()
		})
		var full *ring.FullError
		if err != nil && !errors.As(err, &full) {
			t.Fatal(err)
		}
		if err == nil {
			accepted++
		}
	}
	c.stop()
	if accepted == 0 || accepted > 4096 || len(answers) != accepted {
		t.Fatalf("%d commands accepted, %d answered; want the same number up to 4096", accepted, len(answers))
	}
	for i, n := range answers {
		if n != 1 {
			t.Fatalf("command %d was answered %d times", i, n)
		}
	}
	if err := c.Do(state.Await{}, func(port.ControlReply) { t.Error("answered after the stop") }); err == nil {
		t.Fatal("a stopped service accepted a command")
	}
}

// Guards against an instance that still holds its leases while it stops, or does not report that it
// is stopping.
func TestReleaseLeases(t *testing.T) {
	c := startClient(t, &fakeVoters{})
	done := make(chan port.ControlReply, 1)
	acquire := state.AcquireLease{Name: "dispatcher/chat", Holder: "me", Incarnation: 3}
	if err := c.Do(acquire, func(r port.ControlReply) { done <- r }); err != nil {
		t.Fatal(err)
	}
	receive(t, done, anyReply)
	held := func(l []port.Lease) bool { return len(l) == 1 && l[0].Holder == "me" }
	receive(t, c.leases, held)
	released := make(chan bool, 1)
	c.ReleaseLeases(func() { released <- true })
	receive(t, released, func(bool) bool { return true })
	c.voters.mu.Lock()
	defer c.voters.mu.Unlock()
	if l := c.voters.machine.Leases()["dispatcher/chat"]; l.Holder != "" || !c.voters.stopping {
		t.Fatalf("lease is %+v and stopping is %v", l, c.voters.stopping)
	}
}
