package relay

import (
	"net"
	"sync"
)

// Direction is a set of forwarding directions.
type Direction uint8

// Directions, seen from the side that connects to the relay.
const (
	ToTarget Direction = 1 << iota
	FromTarget
	Both = ToTarget | FromTarget
)

// Relay forwards every connection that it accepts to a target address.
type Relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns map[*proxyConn]struct{}
	// blocked holds the directions that are paused on new connections.
	blocked Direction
	// isolated holds the source IP addresses whose connections are paused, open and new ones.
	isolated map[string]bool
	closed   bool
	wg       sync.WaitGroup
}

// proxyConn is one forwarded connection. ends holds the accepted connection and the one to the
// target, paused the directions that are not forwarded. changed is closed when paused may have
// changed.
type proxyConn struct {
	ends    [2]net.Conn
	paused  Direction
	changed chan struct{}
}

// New starts a relay on a loopback port.
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, conns: make(map[*proxyConn]struct{}), isolated: make(map[string]bool)}
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Freeze stops forwarding on the open connections. It does not affect new connections.
func (r *Relay) Freeze(d Direction) { r.updateConns(func(c *proxyConn) { c.paused |= d }) }

// Block stops forwarding on the open connections and on new ones.
func (r *Relay) Block(d Direction) {
	r.mu.Lock()
	r.blocked |= d
	r.mu.Unlock()
	r.Freeze(d)
}

// Isolate stops forwarding on the connections from an IP address, open and new ones.
func (r *Relay) Isolate(ip string) {
	r.mu.Lock()
	r.isolated[ip] = true
	r.mu.Unlock()
	r.updateConns(func(c *proxyConn) {
		if c.source() == ip {
			c.paused = Both
		}
	})
}

// source returns the IP address that the connection comes from.
func (c *proxyConn) source() string {
	host, _, _ := net.SplitHostPort(c.ends[0].RemoteAddr().String())
	return host
}

// AllowNew ends Block for new connections; paused connections stay paused.
func (r *Relay) AllowNew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = 0
}

// OpenConnections returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Resume ends Freeze, Block and Isolate, and forwards the data that was paused.
func (r *Relay) Resume() {
	r.mu.Lock()
	r.blocked = 0
	clear(r.isolated)
	r.mu.Unlock()
	r.updateConns(func(c *proxyConn) { c.paused = 0 })
}

// Reset closes the open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// Close closes the listener and all connections, and waits until forwarding has ended.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Resume()
	r.Reset()
	r.wg.Wait()
}

// updateConns applies a change to the open connections and wakes up their forwarders.
func (r *Relay) updateConns(change func(*proxyConn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		change(c)
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// accept accepts connections until the listener is closed. A connection is closed if the target
// cannot be dialed.
func (r *Relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		r.startForwarding(&proxyConn{ends: [2]net.Conn{from, to}, changed: make(chan struct{})})
	}
}

// startForwarding registers a connection and forwards both directions, paused if the relay is
// blocked or the source isolated.
func (r *Relay) startForwarding(c *proxyConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.close()
		return
	}
	c.paused = r.blocked
	if r.isolated[c.source()] {
		c.paused = Both
	}
	r.conns[c] = struct{}{}
	r.wg.Go(func() { r.copy(c, c.ends[0], c.ends[1], ToTarget) })
	r.wg.Go(func() { r.copy(c, c.ends[1], c.ends[0], FromTarget) })
}

// copy forwards one direction. Data and the end of a connection that arrive while the direction
// is paused wait for Resume.
func (r *Relay) copy(c *proxyConn, from, to net.Conn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.waitWhilePaused(c, d)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.close()
	if _, open := r.conns[c]; open {
		delete(r.conns, c)
		c.paused = 0
		close(c.changed) // the other direction may be paused
	}
}

// waitWhilePaused blocks while a direction is paused and the relay is not closed.
func (r *Relay) waitWhilePaused(c *proxyConn, d Direction) {
	for {
		r.mu.Lock()
		paused, changed := c.paused&d != 0 && !r.closed, c.changed
		r.mu.Unlock()
		if !paused {
			return
		}
		<-changed
	}
}

func (c *proxyConn) close() {
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}
