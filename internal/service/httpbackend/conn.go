package httpbackend

import (
	"bufio"
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
	// maxHeaderBytes bounds the status line and the header of an answer.
	maxHeaderBytes = 64 << 10
	// readBufferSize is enough for the header of an answer and for most events of a stream.
	readBufferSize = 4 << 10
)

// conn is a connection to a backend server.
type conn struct {
	server model.BackendServer
	tcp    *httpanswer.Conn
	limit  *limitedReader
	reader *bufio.Reader
	// answersRead counts the calls whose answer was read completely.
	answersRead int
	// idleUntil is the time on clock.Boot from which the connection is not reused.
	idleUntil time.Time
}

// limitedReader reads at most remaining bytes, so that an endless header cannot exhaust memory.
type limitedReader struct {
	tcp       *httpanswer.Conn
	remaining int
}

// headerTooLongError reports a header longer than maxHeaderBytes.
type headerTooLongError struct{}

func (headerTooLongError) Error() string { return "the header of the answer is too long" }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, headerTooLongError{}
	}
	n, err := l.tcp.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// noReadLimit is larger than any answer.
const noReadLimit = 1 << 62

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
	l := &limitedReader{tcp: tcp}
	return &conn{server: server, tcp: tcp, limit: l, reader: bufio.NewReaderSize(l, readBufferSize)}, nil
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
