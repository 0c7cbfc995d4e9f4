package peers

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/peerpb"
)

const (
	ringCapacity = 1024
	// maxHandshakes limits the accepted connections whose handshake is still running; they
	// are not authenticated yet.
	maxHandshakes = 64
)

// Options are the settings of the service.
type Options struct {
	// Self is this instance's record with its advertised addresses.
	Self model.Instance
	// ListenAddress is the address to accept connections at; empty for none.
	ListenAddress string
	// Listener, if set, is used instead of ListenAddress.
	Listener net.Listener
	// Peers are the peer addresses of a few other instances. They are dialed as long as there is
	// no connection to the instance that answers.
	Peers []string
	// Token is shared by the fleet. Tokens, if set, is used instead and returns at least one
	// token: the first is sent, all are accepted.
	Token  string
	Tokens func() []string
	// Codecs encode messages to services that may not run at this instance, by service name.
	Codecs map[string]port.Codec
	// ServerTLS and ClientTLS configure TLS on accepted and dialed connections; nil for plain
	// connections.
	ServerTLS *tls.Config
	ClientTLS func() *tls.Config
	// RaiseIncarnation makes the instance raise its incarnation above a known one also while it
	// runs. It is for instances whose wall clock can go back between two starts and which cannot
	// run twice at a time.
	RaiseIncarnation bool
	// Metrics, if set, holds the counters of sent bytes and frames.
	Metrics *metric.Set
}

// handler holds the codec and the receiver of a service's messages. The receiver is nil if the
// service does not run at this instance.
type handler struct {
	codec port.Codec
	sink  func(port.PeerMessage) error
	// sent counts the messages that are sent for the service.
	sent traffic
}

// Service connects this instance to the others.
type Service struct {
	options     Options
	log         *event.Log
	failures    *event.RateLimited
	startedAt   time.Time
	host        *kernel.Host
	ring        *ring.Ring[message]
	listener    net.Listener
	incarnation atomic.Uint64
	// knownIncarnation is the last reported incarnation of a later run of this instance; zero
	// if there is none.
	knownIncarnation atomic.Uint64
	// lastNonce is the nonce of the newest link.
	lastNonce atomic.Uint64
	// handlers does not change after Provision.
	handlers map[string]handler
	// controlTraffic counts the frames without a message, which are heartbeats and
	// acknowledgements.
	controlTraffic traffic
	// statuses belongs to the "peers" duty once it runs.
	statuses outboxes
	// links is replaced as a whole by the "peers" duty.
	links atomic.Pointer[map[model.InstanceID]*link]
}

// New returns the service.
func New(log *event.Log, o Options) *Service {
	if o.Metrics == nil {
		o.Metrics = metric.NewSet()
	}
	s := &Service{
		options: o, log: log, failures: log.RateLimit(event.PeerHandshakeFailed), startedAt: time.Now(),
		ring:     ring.New[message]("peers", ringCapacity, ring.Block),
		handlers: make(map[string]handler), controlTraffic: newTraffic(o.Metrics, port.PeersName),
	}
	for name, codec := range o.Codecs {
		s.handlers[name] = handler{codec: codec, sent: newTraffic(o.Metrics, name)}
	}
	s.incarnation.Store(uint64(o.Self.Incarnation))
	s.links.Store(&map[model.InstanceID]*link{})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.PeersName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Provision implements kernel.Service. Services that need this one are provisioned later
// and see the final incarnation.
func (s *Service) Provision(kernel.Resolver) error {
	s.raiseIncarnation()
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	s.host = h
	t := &table{
		service: s, peers: make(map[model.InstanceID]*peer),
		attempts: make(map[string]*dialAttempt), seeds: make(map[string]model.InstanceID),
	}
	for _, address := range s.options.Peers {
		t.seeds[address] = ""
	}
	if err := s.listen(); err != nil {
		return err
	}
	h.Go("peers", t.run, s.ring)
	return nil
}

func (s *Service) listen() error {
	l := s.options.Listener
	if l == nil && s.options.ListenAddress != "" {
		var err error
		if l, err = net.Listen("tcp", s.options.ListenAddress); err != nil {
			return &fault.ListenFailed{Address: s.options.ListenAddress, Err: err}
		}
	}
	if l == nil {
		return nil
	}
	if s.options.ServerTLS != nil {
		l = tls.NewListener(l, s.options.ServerTLS)
	}
	s.listener = l
	if s.options.Self.PeerAddress == "" {
		s.options.Self.PeerAddress = l.Addr().String()
	}
	s.log.Emit(event.ListenerOpened, s.Name(), l.Addr().String(), s.options.ServerTLS != nil)
	s.host.Go("peer-accept", s.acceptAll)
	return nil
}

// acceptAll accepts connections. Each handshake runs in a duty of its own, at most maxHandshakes
// at once.
func (s *Service) acceptAll(ctx context.Context, _ *kernel.Duty) {
	slots := make(chan struct{}, maxHandshakes)
	for {
		transport, err := s.listener.Accept()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			_ = transport.Close()
			return
		}
		s.host.Go("peer-handshake", func(ctx context.Context, _ *kernel.Duty) {
			defer func() { <-slots }()
			s.accept(ctx, transport)
		})
	}
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.ring.Close()
	return nil
}

// Address returns the peer address of this instance: the advertised one, else the listener's. It
// is empty without either.
func (s *Service) Address() string { return s.options.Self.PeerAddress }

// Self implements port.Peers.
func (s *Service) Self() (model.InstanceID, model.Incarnation) {
	return s.options.Self.ID, model.Incarnation(s.incarnation.Load())
}

// Alone implements port.Peers.
func (s *Service) Alone() bool { return len(s.options.Peers) == 0 }

// Handle implements port.Peers.
func (s *Service) Handle(service string, codec port.Codec, sink func(port.PeerMessage) error) {
	s.handlers[service] = handler{codec, sink, newTraffic(s.options.Metrics, service)}
}

// SubscribeStatus implements port.Peers.
func (s *Service) SubscribeStatus(sink func(port.PeerStatus) error) {
	s.statuses = append(s.statuses, ring.NewOutbox(sink))
}

// SetInstances implements port.Peers.
func (s *Service) SetInstances(list []model.Instance) { _ = s.ring.Offer(instanceList{list}) }

// Send implements port.Peers.
func (s *Service) Send(to model.InstanceID, service string, body any) error {
	h, ok := s.handlers[service]
	self, incarnation := s.Self()
	if to == self && ok && h.sink != nil {
		return h.sink(port.PeerMessage{From: self, Incarnation: incarnation, Body: body})
	}
	l := (*s.links.Load())[to]
	if l == nil || !ok || h.codec == nil {
		return &fault.PeerUnreachable{Instance: to}
	}
	data, err := h.codec.Encode(body)
	if err != nil {
		return err
	}
	if len(data) > maxBody {
		return &fault.PeerProtocol{Reason: "message too large"}
	}
	err = l.out.Offer(outgoing{service: service, body: data, incarnation: model.Incarnation(l.incarnation.Load())})
	if _, closed := err.(*ring.ClosedError); closed {
		// The link has just been stopped; another one may replace it.
		return &fault.PeerUnreachable{Instance: to}
	}
	return err
}

// Health implements kernel.HealthReporter.
func (s *Service) Health() error {
	if known := s.knownIncarnation.Load(); known > s.incarnation.Load() {
		return &fault.IncarnationUsed{Instance: s.options.Self.ID, Known: model.Incarnation(known)}
	}
	return nil
}

// handleLaterIncarnation handles a later run of this instance that another instance knows. With
// RaiseIncarnation it raises the incarnation above the known one, else Health reports the conflict.
func (s *Service) handleLaterIncarnation(known model.Incarnation) {
	if s.options.RaiseIncarnation {
		if uint64(known) >= s.incarnation.Load() {
			raised := incarnationAbove(known)
			s.incarnation.Store(raised)
			s.log.Emit(event.IncarnationRaised, s.options.Self.ID, raised)
		}
		return
	}
	if s.knownIncarnation.Swap(uint64(known)) != uint64(known) {
		s.log.Emit(event.IncarnationUsed, s.options.Self.ID, known)
	}
}

// helloReply returns the encoded frame that answers another instance's hello.
func (s *Service) helloReply(link uint64) ([]byte, error) {
	h := s.hello()
	h.Link = link
	return appendFrame(nil, &peerpb.Frame{Hello: h})
}

// replyIdentity answers a connection that was opened only to learn which instance answers, and
// closes it after handshakeTimeout.
func (s *Service) replyIdentity(c *conn) {
	if data, err := s.helloReply(0); err == nil {
		_ = c.write(data)
	}
	time.AfterFunc(handshakeTimeout, c.close)
}

// post sends a message to the "peers" duty; it blocks while the ring is full.
func (s *Service) post(m message) { _ = s.ring.Put(context.Background(), m) }

// outboxes queue the status reports for each subscriber.
type outboxes []*ring.Outbox[port.PeerStatus]

func (o outboxes) send(st port.PeerStatus) {
	for _, b := range o {
		b.Send(st)
	}
}

func (o outboxes) flush() {
	for _, b := range o {
		b.Flush()
	}
}

func (o outboxes) pending() bool {
	return slices.ContainsFunc(o, func(b *ring.Outbox[port.PeerStatus]) bool { return b.Pending() > 0 })
}

func isFull(err error) bool {
	_, full := err.(*ring.FullError)
	return full
}
