package app_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"briaryard/internal/declare"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/service/config"
	"briaryard/internal/service/controlclient"
	"briaryard/internal/service/dispatch"
	"briaryard/internal/service/dispatcher"
	"briaryard/internal/service/entry"
	"briaryard/internal/service/members"
	"briaryard/internal/service/peers"
	"briaryard/internal/service/transfer"
)

// memoryBackend is a backend client that answers with an echo of the prompt, without a network.
type memoryBackend struct {
	name string
	sink func(context.Context, port.StreamEvent) error
}

func (b *memoryBackend) Name() string                                              { return b.name }
func (b *memoryBackend) Needs() []string                                           { return nil }
func (b *memoryBackend) Provision(kernel.Resolver) error                           { return nil }
func (b *memoryBackend) Start(*kernel.Host) error                                  { return nil }
func (b *memoryBackend) Stop(context.Context) error                                { return nil }
func (b *memoryBackend) Cancel(model.RequestID)                                    {}
func (b *memoryBackend) Attach(sink func(context.Context, port.StreamEvent) error) { b.sink = sink }

func (b *memoryBackend) Open(o port.Outbound) {
	go func() {
		ctx := context.Background()
		for _, e := range []port.StreamEvent{
			{Kind: port.StreamHead, Status: 200},
			{Kind: port.StreamData, Data: append([]byte("echo:"), o.Call.Prompt...), Tokens: 1},
			{Kind: port.StreamEnd},
		} {
			e.Request = o.Request
			_ = b.sink(ctx, e)
		}
	}()
}

// memoryFront is a front end without HTTP. The test calls its services directly.
type memoryFront struct {
	entry   port.Entry
	members port.Members
}

func (f *memoryFront) Name() string               { return "front.memory" }
func (f *memoryFront) Needs() []string            { return []string{port.EntryName, port.MembersName} }
func (f *memoryFront) Start(*kernel.Host) error   { return nil }
func (f *memoryFront) Stop(context.Context) error { return nil }

func (f *memoryFront) Provision(r kernel.Resolver) error {
	var err error
	if f.entry, err = kernel.Resolve[port.Entry](r, port.EntryName); err != nil {
		return err
	}
	f.members, err = kernel.Resolve[port.Members](r, port.MembersName)
	return err
}

// Guards against decision code that depends on HTTP: the request path must also work with a front
// end and a backend client that do not use HTTP.
func TestPathWithoutHTTP(t *testing.T) {
	log := event.New(slog.New(slog.DiscardHandler))
	k := kernel.New(func(err error) { t.Error(err) })
	front := &memoryFront{}
	for _, s := range []kernel.Service{
		peers.New(log, peers.Options{Self: model.Instance{ID: "i1", Incarnation: 1}}), members.New(log, model.Instance{ID: "i1", Incarnation: 1}),
		controlclient.NewLocal("i1", 1, []byte(testConfig)), config.New(log, declare.Place{}), dispatch.New(log), dispatcher.New(log),
		entry.New(log, metric.NewSet()), transfer.New(),
		&memoryBackend{name: port.EngineClientName}, &memoryBackend{name: port.PlainClientName}, front,
	} {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	ctx := context.Background()
	if err := k.Start(ctx); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Stop(ctx) }()
	srv := model.BackendServer{ID: "e1", Incarnation: 1, Kind: model.EngineServer, Pools: []model.PoolID{"notes"}, Slots: 2}
	if err := front.members.Announce(port.Announcement{Server: srv}); err != nil {
		t.Fatal(err)
	}
	sub := port.Submission{
		ID: front.entry.NewRequestID(), Pool: "notes", Kind: model.EngineServer, Timeout: 20 * time.Second, Key: "k",
		Call:   model.Call{Model: "notes", Prompt: []byte("hello")},
		Events: ring.New[model.AnswerEvent]("answer", 16, ring.Refuse),
	}
	answer := submitUntilConfigured(t, front.entry, sub)
	if answer != "echo:hello" {
		t.Fatalf("answer is %q", answer)
	}
}

// submitUntilConfigured repeats the submission until it is accepted, because the configuration may
// not have arrived yet. It returns the answer.
func submitUntilConfigured(t *testing.T, e port.Entry, sub port.Submission) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for {
		if err := e.Submit(sub); err != nil {
			t.Fatal(err)
		}
		var answer []byte
		for {
			ev, err := sub.Events.Get(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if ev.Kind == model.AnswerEnd {
				return string(answer)
			}
			if ev.Kind == model.AnswerFailed {
				t.Logf("refused: %v", ev.Err)
				break
			}
			answer = append(answer, ev.Data...)
		}
		sub.ID = e.NewRequestID()
		sub.Events = ring.New[model.AnswerEvent]("answer", 16, ring.Refuse)
	}
}
