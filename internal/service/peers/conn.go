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
	// recentWrite is the age up to which a write makes a heartbeat unnecessary. With it a
	// connection carries a frame at least every 700 ms.
	recentWrite = 200 * time.Millisecond
	// suspectAfter is the silence after which the peer is reported as silent to the
	// membership; three heartbeats may be late.
	suspectAfter = 1500 * time.Millisecond
	// silentAfter is the silence after which a connection is closed: the network may have
	// dropped it without a reset.
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
	// remote is the other instance as described in its hello.
	remote model.Instance
	// abandoned is the id of the last connection that the other instance stopped using.
	abandoned uint64
	// remoteLink is the nonce of the other side's link; zero if the connection was only
	// opened to learn who answers.
	remoteLink uint64
	// helloFrame is the encoded hello to write before any other frame; empty if this instance
	// dialed.
	helloFrame []byte

	transport net.Conn
	session   *yamux.Session
	stream    *yamux.Stream
	reader    *bufio.Reader
	once      sync.Once
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // the heartbeats of the frame protocol also detect the failure of one direction
	c.ConnectionWriteTimeout = silentAfter
	c.MaxStreamWindowSize = streamWindow
	c.StreamOpenTimeout = handshakeTimeout
	c.LogOutput = io.Discard // failures are reported as events
	return c
}

// openConn opens a yamux session and stream on a transport that this instance dialed.
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

// acceptConn accepts a yamux session and stream on a transport that another instance dialed.
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

// close closes the transport, which ends the session. If the session were closed first, a reader
// of the stream would spin until the session's own reader has ended.
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

// readHandshakeFrame reads the first frame of the other side, a hello or a refusal.
func (c *conn) readHandshakeFrame() (*peerpb.Frame, error) {
	_ = c.stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	return readFrame(c.reader, maxHandshakeFrame)
}

// waitReadable reports whether data arrives within the duration.
func (c *conn) waitReadable(d time.Duration) (bool, error) {
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
