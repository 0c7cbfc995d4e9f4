package outcall

import (
	"context"
	"time"

	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// ringCapacity bounds the queued messages of a group, which include the calls not yet started.
const ringCapacity = 1024

// message is a message to the group's duty.
type message interface{ message() }

type openCall struct{ out port.Outbound }

type cancelCall struct{ request model.RequestID }

type callEnded struct{ request model.RequestID }

func (openCall) message()   {}
func (cancelCall) message() {}
func (callEnded) message()  {}

// Sink receives the events of one call. It blocks while the receiver's ring is full.
type Sink func(port.StreamEvent)

// Reader performs one call and sends its events to the sink. It sends exactly one StreamEnd or
// StreamFailed, as the last event, and then returns. The context ends when the call is cancelled.
type Reader func(ctx context.Context, out port.Outbound, sink Sink)

// Group runs the calls to one kind of backend server.
type Group struct {
	name   string
	reader Reader
	ring   *ring.Ring[message]
	host   *kernel.Host
	sink   func(context.Context, port.StreamEvent) error

	// calls is accessed only by the group's duty.
	calls map[model.RequestID]context.CancelFunc
}

// NewGroup returns a group that is registered under a service name.
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
func (g *Group) Open(o port.Outbound) { g.put(openCall{o}) }

// Cancel implements port.BackendClient.
func (g *Group) Cancel(request model.RequestID) { g.put(cancelCall{request}) }

// Attach implements port.BackendClient.
func (g *Group) Attach(sink func(context.Context, port.StreamEvent) error) { g.sink = sink }

func (g *Group) put(m message) { _ = g.ring.Put(context.Background(), m) }

func (g *Group) handle(_ time.Time, m message) {
	switch m := m.(type) {
	case openCall:
		g.startCall(m.out)
	case cancelCall:
		if stop := g.calls[m.request]; stop != nil {
			stop()
		}
	case callEnded:
		if stop := g.calls[m.request]; stop != nil {
			stop()
		}
		delete(g.calls, m.request)
	}
}

// startCall runs the reader of a call in a new duty.
func (g *Group) startCall(out port.Outbound) {
	callCtx, stop := context.WithCancel(context.Background())
	g.calls[out.Request] = stop
	g.host.Go(g.name+".call", func(ctx context.Context, _ *kernel.Duty) {
		// An immediate stop of the process ends the duty's context, which cancels the call.
		defer context.AfterFunc(ctx, stop)()
		g.reader(callCtx, out, func(e port.StreamEvent) {
			e.Request = out.Request
			_ = g.sink(ctx, e)
		})
		_ = g.ring.Put(ctx, callEnded{out.Request})
	})
}
