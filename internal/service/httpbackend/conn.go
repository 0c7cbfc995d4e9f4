package httpbackend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"briaryard/internal/httpanswer"
	"briaryard/internal/model"
)

const (
	// dialTimeout bounds the connection setup. A lost SYN is retransmitted only after one second,
	// and another server answers well before that.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose data is not acknowledged, for example after the peer
	// became unreachable without a reset. It allows three retransmissions on a link that loses packets.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount are the TCP keep-alive settings. They detect an
	// unreachable peer while the call waits for an answer.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// defaultIdleTimeout applies when the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 800 * time.Millisecond
	// idleMargin is subtracted from the server's Keep-Alive timeout to cover the transit of a request.
	idleMargin = 700 * time.Millisecond
)

// conn is a connection to a backend server.
type conn struct {
	server model.BackendServer
	tcp    *httpanswer.Conn
	reader *httpanswer.Reader
	// answersRead counts the calls whose answer was read completely.
	answersRead int
	// idleUntil is the time on clock.Boot from which the connection is not reused.
	idleUntil time.Time
}

// dial opens a connection with keep-alive probes and TCP_USER_TIMEOUT.
func dial(ctx context.Context, server model.BackendServer) (*conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
	c, err := d.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, err
	}
	tcp := httpanswer.NewConn(c.(*net.TCPConn))
	return &conn{server: server, tcp: tcp, reader: httpanswer.NewReader(tcp)}, nil
}

// close ignores the error, because the connection is not used again.
func (c *conn) close() { _ = c.tcp.Close() }

// isReusable reports whether the connection is open and nothing has arrived on it since the last
// answer. Bytes that have arrived belong to no request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// idleTimeout returns how long a connection may be idle after an answer, or zero if it must be closed.
func idleTimeout(h *http.Response) time.Duration {
	if h.Close {
		return 0
	}
	for part := range strings.SplitSeq(h.Header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			seconds, err := strconv.Atoi(text)
			if err != nil {
				return 0
			}
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
