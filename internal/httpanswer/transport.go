package httpanswer

import (
	"context"
	"io"
	"net"
	"net/http"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.RoundTripper that makes each call on a connection of its own. In contrast to http.Transport
// it goes on to read an answer when the server has stopped reading the request.
type Transport struct {
	// Dial opens a Conn, or a TLS connection on one after its handshake.
	Dial DialFunc
}

// Dial returns a dial function that opens each connection with d as a Conn.
func Dial(d *net.Dialer) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c.(*net.TCPConn)), nil
	}
}

// RoundTrip implements http.RoundTripper. The context of the request ends the call up to the end of its body.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	conn, err := t.Dial(ctx, "tcp", r.URL.Host)
	if err != nil {
		if r.Body != nil {
			_ = r.Body.Close()
		}
		return nil, err
	}
	b := &callBody{ctx: ctx, conn: conn, stop: context.AfterFunc(ctx, func() { _ = conn.Close() })}
	request := r.Clone(ctx)
	request.Close = true
	// The answer decides about the call, so the error of a write is of no use: a server may answer before it has read
	// the request.
	go func() { _ = request.Write(conn) }()
	resp, err := NewReader(conn).ReadHead(r.Method)
	if err != nil {
		_ = b.Close()
		return nil, b.cause(err)
	}
	resp.Request = r
	b.body, resp.Body = resp.Body, b
	return resp, nil
}

// callBody is the body of the answer to a call. Its end closes the connection.
type callBody struct {
	ctx  context.Context
	conn net.Conn
	stop func() bool
	body io.Reader
}

// Read implements io.Reader.
func (b *callBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		err = b.cause(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *callBody) Close() error {
	b.stop()
	return b.conn.Close()
}

// cause returns the error of a call: that of its context if it has ended the call.
func (b *callBody) cause(err error) error {
	if ended := b.ctx.Err(); ended != nil {
		return ended
	}
	return err
}
