package httpanswer

import (
	"context"
	"net"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

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
