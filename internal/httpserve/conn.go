package httpserve

import (
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"briaryard/internal/decide/intake"
	"briaryard/internal/event"
)

// Conn is a connection of a caller. It passes the bytes of the caller on as they are, message by message: bytes of
// the next request wait until the HTTP server asks for them. It ends the connection when a limit is exceeded.
type Conn struct {
	net.Conn
	// raw is the connection to the caller below TLS.
	raw      net.Conn
	gate     *Gate
	listener string
	address  netip.Addr
	limits   func() intake.Limits
	errors   *event.LibraryLogger
	forget   sync.Once

	// The fields below belong to the lock of the gate.

	scanner intake.Scanner
	// held is the memory of the header section in the gate's count.
	held int64
	// pending are bytes that were received behind the end of a message.
	pending []byte
	// reading is set while a read waits for the caller.
	reading bool
	// answering is set from the end of a request to the end of its answer, and answered from the first of those.
	answering, answered bool
	// since is the time since which the connection has had no request.
	since time.Time
	// sectionEnd is the time by which the header section in progress has to be complete, or zero.
	sectionEnd time.Time
	// deadline is the read deadline that the HTTP server has set.
	deadline time.Time
	// ended is the error of all reads after the connection was ended.
	ended error
}

// secureConn is a Conn with TLS. The HTTP server asks for the state of the connection before its first read.
type secureConn struct {
	*Conn
	tls *tls.Conn
}

// ConnectionState completes the handshake and returns the state of the connection. net/http would do the
// handshake itself for a connection of the type tls.Conn.
func (c *secureConn) ConnectionState() tls.ConnectionState {
	end := time.Now().Add(c.gate.limits.HeaderTimeout)
	_ = c.raw.SetDeadline(end)
	if err := c.tls.Handshake(); err != nil {
		if record, ok := err.(tls.RecordHeaderError); ok && record.Conn != nil && looksLikeHTTP(record.RecordHeader) {
			// The caller has disconnected or reads it.
			_, _ = io.WriteString(record.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
		}
		if c.errors != nil {
			c.errors.Printf("http: TLS handshake error from %s: %v", c.RemoteAddr(), err)
		}
		_ = c.raw.Close()
	}
	_ = c.raw.SetDeadline(time.Time{})
	return c.tls.ConnectionState()
}

func looksLikeHTTP(header [5]byte) bool {
	return slices.Contains([]string{"GET /", "HEAD ", "POST ", "PUT /", "OPTIO"}, string(header[:]))
}

// closable reports whether no request of the connection is read or answered at present.
func (c *Conn) closable() bool {
	return c.ended == nil && !c.answering && !c.scanner.Lost() && (c.reading || !c.scanner.Started())
}

// Read implements net.Conn. Only one read is in progress at a time.
func (c *Conn) Read(p []byte) (int, error) {
	n, waits, err := c.beginRead(p)
	if waits {
		n, err = c.Conn.Read(p)
	}
	n, refused, err := c.endRead(p[:n], err)
	if refused != intake.Accepted {
		c.refuse(refused, p)
	}
	return n, err
}

// beginRead returns bytes that wait, or prepares a read from the caller.
func (c *Conn) beginRead(p []byte) (n int, waits bool, err error) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	switch {
	case c.ended != nil:
		return 0, false, c.ended
	case len(c.pending) > 0:
		n = copy(p, c.pending)
		if c.pending = c.pending[n:]; len(c.pending) == 0 {
			c.pending = nil
		}
		return n, false, nil
	}
	// The first byte of a request may arrive while the answer before it is written; its time begins when the
	// HTTP server reads on.
	if c.scanner.InSection() && !c.answering && c.sectionEnd.IsZero() {
		c.sectionEnd = time.Now().Add(c.gate.limits.HeaderTimeout)
		if err := c.Conn.SetReadDeadline(c.readDeadline()); err != nil {
			return 0, false, err
		}
	}
	c.reading = true
	return 0, true, nil
}

// endRead follows the bytes that were received and returns how many of them belong to the current message.
func (c *Conn) endRead(p []byte, err error) (int, intake.Refusal, error) {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	c.reading = false
	if c.ended != nil {
		return 0, intake.Accepted, c.ended
	}
	if len(p) == 0 {
		return 0, c.expired(err), err
	}
	refused, n := c.follow(p)
	switch {
	case refused != intake.Accepted:
		c.ended = &net.OpError{Op: "read", Net: "tcp", Addr: c.raw.RemoteAddr(), Err: net.ErrClosed}
		g.hold(c, 0)
		return 0, refused, c.ended
	case c.ended != nil:
		return 0, intake.Accepted, c.ended
	case !c.scanner.InSection():
		c.sectionEnd = time.Time{}
	}
	return n, intake.Accepted, err
}

// follow scans bytes that were received, counts what they hold, and keeps those of the next message. It returns the
// number of those of the current one. A request is refused only while the HTTP server does not have its header
// section.
func (c *Conn) follow(p []byte) (intake.Refusal, int) {
	first, undecided := !c.scanner.Started(), !c.scanner.Started() || c.scanner.InSection()
	n, complete, refused := c.scanner.Scan(p, c.limits())
	if refused != intake.Accepted {
		return refused, 0
	}
	if n < len(p) {
		c.pending = append(slices.Clone(p[n:]), c.pending...)
	}
	// The first byte of the next request may arrive while an answer is written; it is counted afterwards.
	if c.answering {
		return intake.Accepted, n
	}
	if first {
		c.since = time.Now()
	}
	bytes := c.scanner.Bytes()
	if complete {
		bytes = c.scanner.Previous()
	}
	if undecided {
		c.gate.hold(c, bytes)
		if !c.gate.fit(c) {
			return intake.MemoryUsed, 0
		}
	}
	if complete {
		c.answering, c.answered = true, true
	}
	return intake.Accepted, n
}

// expired returns the refusal of a header section whose time has passed.
func (c *Conn) expired(err error) intake.Refusal {
	timeout, ok := err.(net.Error)
	if !ok || !timeout.Timeout() || c.sectionEnd.IsZero() || time.Now().Before(c.sectionEnd) {
		return intake.Accepted
	}
	c.ended = err
	return intake.HeaderTimeout
}
