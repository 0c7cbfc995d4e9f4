package outcall

import (
	"context"
	"time"

	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// ringCapacity bounds the calls that have been handed over and not started.
const ringCapacity = 1024

type message interface{ message() }

type open struct{ out port.Outbound }

type cancel struct{ request model.RequestID }

type ended struct{ request model.RequestID }

func (open) message()   {}
func (cancel) message() {}
func (ended) message()  {}

// Sink receives the events of one call. It blocks while the receiver has no room.
type Sink func(port.StreamEvent)

// Reader performs one call and sends its events. It returns after exactly one StreamEnd or
// StreamFailed. The context ends when the call is cancelled.
type Reader func(ctx context.Context, out port.Outbound, sink Sink)

// Group runs the calls of one kind of backend server.
type Group struct {
	name   string
	reader Reader
	ring   *ring.Ring[message]
	host   *kernel.Host
	sink   func(context.Context, port.StreamEvent) error

	// calls belongs to the group's duty.
	calls map[model.RequestID]context.CancelFunc
}

// NewGroup returns a group that serves under a service name.
func NewGroup(name string, reader Reader) *Group {
	return &Group{
		name: name, reader: reader,
		ring:  ring.New[message](name, ringCapacity, ring.Block),
		calls: make(map[model.RequestID]context.CancelFunc),
	}
}

// Name implements kernel.Service.
func (g *Group) Name() string { return g.name }

// Needs implements kernel.Service.
func (g *Group) Needs() []string { return nil }

// Provision implements kernel.Service.
func (g *Group) Provision(kernel.Resolver) error { return nil }

// Start implements kernel.Service.
func (g *Group) Start(h *kernel.Host) error {
	g.host = h
	h.Go(g.name, kernel.Loop[message]{Ring: g.ring, Handle: g.handle}.Run, g.ring)
	return nil
}

// Stop implements kernel.Service.
func (g *Group) Stop(context.Context) error {
	g.ring.Close()
	return nil
}

// Open implements port.BackendClient.
func (g *Group) Open(o port.Outbound) { g.put(open{o}) }

// Cancel implements port.BackendClient.
func (g *Group) Cancel(request model.RequestID) { g.put(cancel{request}) }

// Attach implements port.BackendClient.
func (g *Group) Attach(sink func(context.Context, port.StreamEvent) error) { g.sink = sink }

func (g *Group) put(m message) { _ = g.ring.Put(context.Background(), m) }

func (g *Group) handle(_ time.Time, m message) {
	switch m := m.(type) {
	case open:
		g.open(m.out)
	case cancel:
		if stop := g.calls[m.request]; stop != nil {
			stop()
		}
	case ended:
		if stop := g.calls[m.request]; stop != nil {
			stop()
		}
		delete(g.calls, m.request)
	}
}

func (g *Group) open(out port.Outbound) {
	call, stop := context.WithCancel(context.Background())
	g.calls[out.Request] = stop
	g.host.Go(g.name+".call", func(ctx context.Context, _ *kernel.Duty) {
		// When the process stops at once, the duty's context ends the call.
		defer context.AfterFunc(ctx, stop)()
		g.reader(call, out, func(e port.StreamEvent) {
			e.Request = out.Request
			_ = g.sink(ctx, e)
		})
		_ = g.ring.Put(ctx, ended{out.Request})
	})
}
