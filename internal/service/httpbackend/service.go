package httpbackend

import (
	"context"
	"sync/atomic"
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/hold"
	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/relay"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	ringCapacity = 8192
	// maxIdlePerServer bounds the idle connections to one server. Servers limit the connections of
	// all their clients together, and an idle connection saves only the connection setup.
	maxIdlePerServer = 4
	// idleCheckInterval is the interval between checks for expired idle connections.
	idleCheckInterval = time.Second
)

// message is a message to the backend.http duty.
type message interface{ message() }

type openCall struct{ out port.HTTPOutbound }

type cancelCall struct{ key callKey }

type callEnded struct {
	key callKey
	// conn is the connection of the call, or nil if it cannot be reused.
	conn *conn
}

// noticeRead is what a server has said about itself in an answer. Calls that wait for a connection to
// it are then not sent.
type noticeRead struct{ model.ServerNotice }

func (noticeRead) message() {}
func (openCall) message()   {}
func (cancelCall) message() {}
func (callEnded) message()  {}

// callKey identifies a call: the request and the number of the send.
type callKey struct {
	id   model.RequestID
	send int
}

// Options are the settings of the service.
type Options struct {
	// MaxEventBytes bounds one event of a stream. The largest sound event holds a few tokens, well
	// below 1 KiB.
	MaxEventBytes int
}

// Service implements port.HTTPBackend. It runs the calls and keeps the idle connections.
type Service struct {
	options Options
	log     *event.Log
	metrics *metric.Set
	dialect port.Dialect
	sink    func(relay.CallEvent)
	notify  func(model.ServerNotice)
	// bars is the immutable view of barTable for the calls.
	bars atomic.Pointer[hold.Table]
	// evidence is the view of the parts of prompts that crash servers.
	evidence   atomic.Pointer[quarantine.View]
	quarantine port.Quarantine
	ring       *ring.Ring[message]
	host       *kernel.Host

	// The fields below are accessed only by the backend.http duty.
	calls map[callKey]context.CancelFunc
	idle  map[model.BackendServerID][]*conn
	// barTable holds the words of the servers; see noticeRead.
	barTable *hold.Table
}

// New returns the service.
func New(log *event.Log, m *metric.Set, o Options) *Service {
	return &Service{
		options: o, log: log, metrics: m, ring: ring.New[message]("backend.http", ringCapacity, ring.Block),
		calls: make(map[callKey]context.CancelFunc), idle: make(map[model.BackendServerID][]*conn), barTable: hold.NewTable(),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.HTTPBackendName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.DialectName, port.QuarantineName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	if err := r.Bind(kernel.Into(port.DialectName, &s.dialect), kernel.Into(port.QuarantineName, &s.quarantine)); err != nil {
		return err
	}
	s.quarantine.SubscribeViews(s.evidence.Store)
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	s.host = h
	h.Go("backend.http", func(ctx context.Context, d *kernel.Duty) {
		kernel.Loop[message]{Ring: s.ring, TickInterval: idleCheckInterval, Handle: s.handle, OnTick: s.closeExpired, Now: clock.Boot}.Run(ctx, d)
		s.closeAll()
	}, s.ring)
	return nil
}

// closeAll closes the idle connections, and those of calls whose end the duty has not handled. The ring
// takes no message any more.
func (s *Service) closeAll() {
	for m, ok := s.ring.TryGet(); ok; m, ok = s.ring.TryGet() {
		if ended, isEnd := m.(callEnded); isEnd && ended.conn != nil {
			ended.conn.close()
		}
	}
	for _, list := range s.idle {
		for _, c := range list {
			c.close()
		}
	}
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// AttachCalls implements port.HTTPBackend.
func (s *Service) AttachCalls(events func(relay.CallEvent), notices func(model.ServerNotice)) {
	s.sink, s.notify = events, notices
}

// OpenCall implements port.HTTPBackend.
func (s *Service) OpenCall(o port.HTTPOutbound) { _ = s.ring.Put(context.Background(), openCall{o}) }

// CancelCall implements port.HTTPBackend.
func (s *Service) CancelCall(id model.RequestID, send int) {
	_ = s.ring.Put(context.Background(), cancelCall{callKey{id, send}})
}

func (s *Service) handle(now time.Time, m message) {
	switch m := m.(type) {
	case openCall:
		s.startCall(now, m.out)
	case cancelCall:
		if stop := s.calls[m.key]; stop != nil {
			stop()
		}
	case noticeRead:
		if s.barTable.Apply(now, m.ServerNotice) {
			s.bars.Store(s.barTable.Clone())
		}
	case callEnded:
		delete(s.calls, m.key)
		if m.conn != nil {
			s.putIdle(now, m.conn)
		}
	}
}

// startCall runs a call in a new duty, on an idle connection if there is one.
func (s *Service) startCall(now time.Time, out port.HTTPOutbound) {
	ctx, stop := context.WithCancel(context.Background())
	key := callKey{out.ID, out.Send}
	s.calls[key] = stop
	c := &call{
		out: out, dialect: s.dialect, sink: s.sink, notify: s.passOn, barred: s.barred, limited: s.limited, evidence: &s.evidence, observe: s.quarantine.Observe, log: s.log, metrics: s.metrics, idleConn: s.takeIdle(now, out.Server),
		startedAt: now, host: s.host, maxEventBytes: s.options.MaxEventBytes,
	}
	s.host.Go("backend.http.call", func(host context.Context, _ *kernel.Duty) {
		defer stop()
		defer context.AfterFunc(host, stop)()
		reusable := c.run(ctx)
		if s.ring.Put(context.Background(), callEnded{key: key, conn: reusable}) != nil && reusable != nil {
			// The service has stopped.
			reusable.close()
		}
	})
}

// passOn passes the word of a server to the relay, and to the calls that are not sent yet.
func (s *Service) passOn(n model.ServerNotice) {
	_ = s.ring.Put(context.Background(), noticeRead{n})
	s.notify(n)
}

// barred returns the bar of a server, if there is one now.
func (s *Service) barred(b *model.BackendServer) (hold.Bar, bool) {
	view := s.bars.Load()
	if view == nil {
		return hold.Bar{}, false
	}
	return view.Lookup(clock.Boot(), b.ID, b.Incarnation)
}

// limited reports whether the server has a named limit now.
func (s *Service) limited(b *model.BackendServer) bool {
	view := s.bars.Load()
	if view == nil {
		return false
	}
	_, ok := view.Limit(clock.Boot(), b.ID, b.Incarnation)
	return ok
}

// takeIdle removes and returns the most recently used idle connection to the server, or nil. It
// closes connections that have expired or that lead to another incarnation or address.
func (s *Service) takeIdle(now time.Time, b model.BackendServer) *conn {
	list := s.idle[b.ID]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		s.idle[b.ID] = list
		if c.server.Incarnation == b.Incarnation && c.server.Address == b.Address && now.Before(c.idleUntil) {
			return c
		}
		c.close()
	}
	delete(s.idle, b.ID)
	return nil
}

// putIdle adds a connection to the idle ones, or closes it if the server has enough of them.
func (s *Service) putIdle(now time.Time, c *conn) {
	list := s.idle[c.server.ID]
	if len(list) >= maxIdlePerServer || !now.Before(c.idleUntil) {
		c.close()
		return
	}
	s.idle[c.server.ID] = append(list, c)
}

// closeExpired closes the idle connections whose idle time has ended.
func (s *Service) closeExpired(now time.Time) {
	for id, list := range s.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				remaining = append(remaining, c)
			} else {
				c.close()
			}
		}
		if len(remaining) == 0 {
			delete(s.idle, id)
		} else {
			s.idle[id] = remaining
		}
	}
}
