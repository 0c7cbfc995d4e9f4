package peers

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/wire/peerpb"
)

const (
	// heartbeatInterval is the time between the heartbeats of a connection.
	heartbeatInterval = 500 * time.Millisecond
	// recentWrite replaces a heartbeat. With it a connection carries a frame at least every
	// 700 ms.
	recentWrite = 200 * time.Millisecond
	// suspectAfter is reported to the membership; three heartbeats may be late.
	suspectAfter = 1500 * time.Millisecond
	// silentAfter closes a connection: the network may have dropped it without a reset.
	silentAfter = 2 * time.Second
	// handshakeTimeout bounds dialing and the handshake together.
	handshakeTimeout = 2 * time.Second
	// streamWindow is the flow control window of a connection.
	streamWindow = 1 << 20
)

// conn is one connection to another instance: a yamux session with one stream.
type conn struct {
	id     uint64
	dialed bool
	// remote is the other instance as it described itself.
	remote model.Instance
	// abandoned is the last connection that the other instance has given up.
	abandoned uint64
	// remoteLink identifies the other side's numbering state.
	remoteLink uint64
	// greeting is written before anything else.
	greeting []byte

	transport net.Conn
	session   *yamux.Session
	stream    *yamux.Stream
	reader    *bufio.Reader
	once      sync.Once
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // the heartbeat of the frame protocol also detects one direction
	c.ConnectionWriteTimeout = silentAfter
	c.MaxStreamWindowSize = streamWindow
	c.StreamOpenTimeout = handshakeTimeout
	c.LogOutput = io.Discard // failures are reported as events
	return c
}

// openConn makes a connection from a transport that this instance dialed.
func openConn(transport net.Conn) (*conn, error) {
	session, err := yamux.Client(transport, sessionConfig())
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		_ = transport.Close()
		return nil, err
	}
	return &conn{dialed: true, transport: transport, session: session, stream: stream, reader: bufio.NewReader(stream)}, nil
}

// acceptConn makes a connection from a transport that another instance dialed.
func acceptConn(transport net.Conn) (*conn, error) {
	session, err := yamux.Server(transport, sessionConfig())
	if err != nil {
		return nil, err
	}
	timer := time.AfterFunc(handshakeTimeout, func() { _ = transport.Close() })
	defer timer.Stop()
	stream, err := session.AcceptStream()
	if err != nil {
		_ = transport.Close()
		return nil, err
	}
	return &conn{transport: transport, session: session, stream: stream, reader: bufio.NewReader(stream)}, nil
}

// close closes what is below the session, which then ends by itself. If the session were closed first,
// a reader of the stream would spin until the session's own reader has ended.
func (c *conn) close() { c.once.Do(func() { _ = c.transport.Close() }) }

func (c *conn) write(data []byte) error {
	_ = c.stream.SetWriteDeadline(time.Now().Add(silentAfter))
	_, err := c.stream.Write(data)
	return err
}

func (c *conn) writeFrame(f *peerpb.Frame) error {
	data, err := appendFrame(nil, f)
	if err != nil {
		return err
	}
	return c.write(data)
}

// readGreeting reads the first frame of the other side.
func (c *conn) readGreeting() (*peerpb.Frame, error) {
	_ = c.stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	return readFrame(c.reader, maxGreeting)
}

// wait returns true when data arrives within the duration, and false when none does.
func (c *conn) wait(d time.Duration) (bool, error) {
	_ = c.stream.SetReadDeadline(time.Now().Add(d))
	_, err := c.reader.Peek(1)
	if err == yamux.ErrTimeout {
		return false, nil
	}
	return err == nil, err
}

// read reads the next frame, whose first byte has arrived.
func (c *conn) read() (*peerpb.Frame, error) {
	_ = c.stream.SetReadDeadline(time.Now().Add(silentAfter))
	f, err := readFrame(c.reader, maxFrame)
	if err != nil {
		return nil, err
	}
	if f.Hello != nil || f.Refusal != nil {
		return nil, &fault.PeerProtocol{Reason: "handshake frame on an open connection"}
	}
	return f, nil
}
