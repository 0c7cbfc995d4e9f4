package peers

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/wire/peerpb"
)

const protocolVersion = 1

// hello returns the handshake message that describes this instance.
func (s *Service) hello() *peerpb.Hello {
	i := s.options.Self
	return &peerpb.Hello{
		Version: protocolVersion, Token: s.tokens()[0], Instance: string(i.ID), Incarnation: s.incarnation.Load(),
		FailureDomain: string(i.Domain), PeerAddress: i.PeerAddress, CallerAddress: i.CallerAddress,
		ServerAddress: i.ServerAddress, OperatorAddress: i.OperatorAddress, Voter: i.Voter,
	}
}

// tokens returns the fleet tokens. The first is sent, all are accepted.
func (s *Service) tokens() []string {
	if s.options.Tokens != nil {
		return s.options.Tokens()
	}
	return []string{s.options.Token}
}

// validToken reports whether a token is one of the fleet's. It compares with every one of them, so
// that the time does not depend on which one matches.
func (s *Service) validToken(token string) bool {
	got, equal := sha256.Sum256([]byte(token)), 0
	for _, t := range s.tokens() {
		want := sha256.Sum256([]byte(t))
		equal |= subtle.ConstantTimeCompare(want[:], got[:])
	}
	return equal == 1
}

// validateHello checks the token and the protocol version of a hello. It returns the instance that
// the hello describes, or the reason to refuse the connection.
func (s *Service) validateHello(h *peerpb.Hello) (model.Instance, fault.RefusalReason) {
	switch {
	case !s.validToken(h.GetToken()):
		return model.Instance{}, fault.RefusedToken
	case h.GetVersion() != protocolVersion:
		return model.Instance{}, fault.RefusedVersion
	}
	i := model.Instance{
		ID: model.InstanceID(h.GetInstance()), Incarnation: model.Incarnation(h.GetIncarnation()),
		Domain: model.FailureDomain(h.GetFailureDomain()), PeerAddress: h.GetPeerAddress(), CallerAddress: h.GetCallerAddress(),
		ServerAddress: h.GetServerAddress(), OperatorAddress: h.GetOperatorAddress(), Voter: h.GetVoter(),
	}
	return i, ""
}

// dialer opens transport connections.
type dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// firstDialTimeouts are the time limits of the first attempts to open a connection. An instance that is
// still starting does not answer, and the operating system repeats its request only after a second, by which
// the return after a loss of all instances was delayed. The round trip between regions is below the second.
var firstDialTimeouts = [...]time.Duration{150 * time.Millisecond, 400 * time.Millisecond}

// dialRepeatedly opens a connection. Attempts without an answer end after firstDialTimeouts, and the last
// one with the context.
func dialRepeatedly(ctx context.Context, d dialer, address string) (net.Conn, error) {
	for _, timeout := range firstDialTimeouts {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		transport, err := d.DialContext(attempt, "tcp", address)
		unanswered := attempt.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil || !unanswered {
			return transport, err
		}
	}
	return d.DialContext(ctx, "tcp", address)
}

// dial connects to an address and performs the handshake. If link is zero, the connection is
// only good for learning which instance answers there.
func (s *Service) dial(ctx context.Context, address string, link, abandoned uint64) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	plain := &net.Dialer{LocalAddr: s.localAddress()}
	var d dialer = plain
	if s.options.ClientTLS != nil {
		d = &tls.Dialer{NetDialer: plain, Config: s.options.ClientTLS()}
	}
	transport, err := dialRepeatedly(ctx, d, address)
	if err != nil {
		return nil, err
	}
	c, err := openConn(transport)
	if err != nil {
		_ = transport.Close()
		return nil, err
	}
	if err := s.exchangeHello(c, address, link, abandoned); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// exchangeHello sends this instance's hello on a dialed connection and reads the answer.
func (s *Service) exchangeHello(c *conn, address string, link, abandoned uint64) error {
	h := s.hello()
	h.Connection, h.Link, h.Abandoned = rand.Uint64()|1, link, abandoned
	c.id = h.Connection
	if err := c.writeFrame(&peerpb.Frame{Hello: h}); err != nil {
		return err
	}
	f, err := c.readHandshakeFrame()
	if err != nil {
		return err
	}
	if r := f.GetRefusal(); r != nil {
		return &fault.PeerRefused{
			Address: address, Reason: fault.RefusalReason(r.GetReason()), Known: model.Incarnation(r.GetKnownIncarnation()),
		}
	}
	remote, reason := s.validateHello(f.GetHello())
	switch {
	case reason != "":
		return &fault.PeerRefused{Address: address, Reason: reason}
	case remote.ID == "":
		return &fault.PeerProtocol{Reason: "hello without an id"}
	}
	c.remote, c.remoteLink = remote, f.GetHello().GetLink()
	return nil
}

// accept performs the handshake on a transport that another instance dialed. The "peers" duty
// decides whether the connection is used.
func (s *Service) accept(ctx context.Context, transport net.Conn) {
	if err := tlsHandshake(ctx, transport); err != nil {
		s.failures.Emit(time.Now(), transport.RemoteAddr().String(), err.Error())
		_ = transport.Close()
		return
	}
	c, err := acceptConn(transport)
	if err != nil {
		_ = transport.Close()
		return
	}
	f, err := c.readHandshakeFrame()
	if err != nil {
		c.close()
		return
	}
	h := f.GetHello()
	remote, reason := s.validateHello(h)
	if reason == "" && remote.ID == "" {
		c.close()
		return
	}
	if reason != "" {
		s.refuse(c, reason, 0)
		return
	}
	c.remote, c.id, c.remoteLink, c.abandoned = remote, h.GetConnection(), h.GetLink(), h.GetAbandoned()
	if s.ring.Put(ctx, acceptedConn{conn: c}) != nil {
		c.close()
	}
}

// tlsHandshake performs the TLS handshake of an accepted transport, if it uses TLS. The handshake
// would otherwise run within the first read, whose error does not contain the reason.
func tlsHandshake(ctx context.Context, transport net.Conn) error {
	secured, ok := transport.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return secured.HandshakeContext(ctx)
}

// refuse sends the reason to the other side and closes the connection after handshakeTimeout,
// which leaves time to read the refusal.
func (s *Service) refuse(c *conn, reason fault.RefusalReason, known model.Incarnation) {
	if reason != fault.RefusedDuplicate {
		s.log.Emit(event.PeerRefused, c.session.RemoteAddr().String(), string(reason))
	}
	_ = c.writeFrame(&peerpb.Frame{Refusal: &peerpb.Refusal{Reason: string(reason), KnownIncarnation: uint64(known)}})
	time.AfterFunc(handshakeTimeout, c.close)
}

// raiseIncarnation asks the instances of the settings whether they know the same or a higher
// incarnation of this instance, and raises the incarnation above it. It runs before any service
// uses the incarnation.
func (s *Service) raiseIncarnation() {
	replies := make(chan model.Incarnation, len(s.options.Peers))
	for _, address := range s.options.Peers {
		go func() {
			c, err := s.dial(context.Background(), address, 0, 0)
			var known model.Incarnation
			if refused, ok := err.(*fault.PeerRefused); ok && refused.Reason == fault.RefusedIncarnation {
				known = refused.Known
			}
			if c != nil {
				c.close()
			}
			replies <- known
		}()
	}
	highest := s.incarnation.Load()
	for range s.options.Peers {
		if known := <-replies; uint64(known) >= highest {
			highest = incarnationAbove(known)
		}
	}
	if highest > s.incarnation.Load() {
		s.incarnation.Store(highest)
		s.log.Emit(event.IncarnationRaised, s.options.Self.ID, highest)
	}
}

// maxIncarnationStep bounds the random part of a raised incarnation. Incarnations are times in nanoseconds, so it is
// one millisecond.
const maxIncarnationStep = uint64(time.Millisecond)

// incarnationAbove returns an incarnation above a known one. It is random, because another process of this
// instance may have been raised above the same one, and ids of requests count from 1 in each incarnation.
func incarnationAbove(known model.Incarnation) uint64 {
	return uint64(known) + 1 + rand.Uint64N(maxIncarnationStep)
}

// localAddress returns the source address of outgoing connections: the IP address that this
// instance listens on, so that network devices between the machines see one address for each
// instance. It is nil, which leaves the choice to the operating system, if the listener is not
// bound to one IP address.
func (s *Service) localAddress() net.Addr {
	host, _, err := net.SplitHostPort(s.options.ListenAddress)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}
