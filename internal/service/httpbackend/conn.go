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

	"briaryard/internal/model"
)

const (
	// dialTimeout bounds the opening of a connection. A lost opening packet is sent again only
	// after a second, by which time another server has long answered.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose data is not acknowledged, as after a silent loss. It
	// leaves room for three repeats on a link that loses packets.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find a silent loss while an answer is awaited.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// defaultIdle is how long a connection is kept whose server names no time.
	defaultIdle = 800 * time.Millisecond
	// idleMargin is subtracted from the time that a server names, for the way of a request.
	idleMargin = 700 * time.Millisecond
	// maxHead bounds the header of an answer.
	maxHead = 64 << 10
	// readBuffer holds the header of an answer and most events of a stream.
	readBuffer = 4 << 10
)

// conn is a connection to a backend server.
type conn struct {
	server model.BackendServer
	tcp    *net.TCPConn
	limit  *limited
	reader *bufio.Reader
	// used counts the answers that were read.
	used int
	// until is when the connection is too old to be used again.
	until time.Time
}

// limited reads at most a number of bytes, so that a header without end takes no memory.
type limited struct {
	tcp  *net.TCPConn
	left int
}

// headTooLongError reports a header above maxHead.
type headTooLongError struct{}

func (headTooLongError) Error() string { return "the header of the answer is too long" }

// Read implements io.Reader.
func (l *limited) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, headTooLongError{}
	}
	n, err := l.tcp.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// unlimited is a bound that no answer reaches.
const unlimited = 1 << 62

func dial(ctx context.Context, server model.BackendServer) (*conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	c, err := d.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	l := &limited{tcp: tcp}
	return &conn{server: server, tcp: tcp, limit: l, reader: bufio.NewReaderSize(l, readBuffer)}, nil
}

// close cannot fail in a way that matters: the connection is not used again.
func (c *conn) close() { _ = c.tcp.Close() }

// quiet reports that the connection is open and nothing has arrived on it since the last answer.
// Bytes that have arrived belong to no request.
func (c *conn) quiet() bool {
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

// idleTime returns how long a connection may be idle after an answer, or zero if it must be closed.
func idleTime(h *http.Response) time.Duration {
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
	return defaultIdle
}
