package httpserve

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"briaryard/internal/decide/intake"
	"briaryard/internal/event"
)

// gateListener accepts the connections of one listener through the gate.
type gateListener struct {
	net.Listener
	gate    *Gate
	options ListenOptions
}

// ListenOptions are those of one listener of a gate.
type ListenOptions struct {
	// Name is the name of the service in the log.
	Name string
	// TLS is nil for plain connections.
	TLS *tls.Config
	// HeaderBytes returns the limit of a header section in force, or 0 for that of the settings. It may be nil.
	HeaderBytes func() int
	// Errors receives failed TLS handshakes. It may be nil.
	Errors *event.LibraryLogger
}

// Listener returns a listener whose connections keep the limits of the gate.
func (g *Gate) Listener(l net.Listener, o ListenOptions) net.Listener {
	return &gateListener{Listener: l, gate: g, options: o}
}

// Accept implements net.Listener.
func (l *gateListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := l.wrap(raw)
		why := l.gate.admit(c)
		if why == intake.Accepted {
			if l.options.TLS == nil {
				return c, nil
			}
			t := tls.Server(raw, l.options.TLS)
			c.Conn = t
			return &secureConn{Conn: c, tls: t}, nil
		}
		l.refuse(c, why)
	}
}

func (l *gateListener) wrap(raw net.Conn) *Conn {
	c := &Conn{
		Conn: raw, raw: raw, gate: l.gate, listener: l.options.Name, limits: l.limits, errors: l.options.Errors, since: time.Now(),
	}
	if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		address, _ := netip.AddrFromSlice(a.IP)
		c.address = address.Unmap()
	}
	return c
}

// refuse ends a connection that is not admitted. A new connection has room for the answer, so that the write does
// not wait.
func (l *gateListener) refuse(c *Conn, why intake.Refusal) {
	if l.options.TLS == nil {
		c.refuse(why, nil)
	} else {
		l.gate.mu.Lock()
		l.gate.report(c, why, 0)
		l.gate.mu.Unlock()
	}
	_ = c.raw.Close()
}

// limits returns the limits of a header section in force.
func (l *gateListener) limits() intake.Limits {
	set := &l.gate.limits
	limits := intake.Limits{Bytes: set.MaxHeaderBytes, Lines: set.MaxHeaderLines, EmptyBytes: set.MaxEmptyLineBytes}
	if l.options.HeaderBytes != nil {
		if n := l.options.HeaderBytes(); n > 0 {
			limits.Bytes = min(n, intake.MaxHeaderBytes)
		}
	}
	return limits
}

// FollowState passes the states of a connection of the HTTP server on to its Conn. It is to be called from the
// server's ConnState function.
func FollowState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	switch c := c.(type) {
	case *Conn:
		c.answerEnded()
	case *secureConn:
		c.answerEnded()
	}
}
