package relay

import (
	"net"
	"sync"
)

// Direction names the ways that a relay forwards.
type Direction uint8

// Directions, seen from the side that connects to the relay.
const (
	ToTarget Direction = 1 << iota
	FromTarget
	Both = ToTarget | FromTarget
)

// Relay forwards connections to a target.
type Relay struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	links   map[*link]struct{}
	blocked Direction
	// isolated holds the IP addresses whose connections are held back, old and new ones.
	isolated map[string]bool
	closed   bool
	wg       sync.WaitGroup
}

// link is one forwarded connection.
type link struct {
	ends    [2]net.Conn
	held    Direction
	changed chan struct{}
}

// New starts a relay on a loopback port.
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, links: make(map[*link]struct{}), isolated: make(map[string]bool)}
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Freeze stops forwarding on the open connections. New connections still work.
func (r *Relay) Freeze(d Direction) { r.set(func(l *link) { l.held |= d }) }

// Block stops forwarding on the open connections and on new ones.
func (r *Relay) Block(d Direction) {
	r.mu.Lock()
	r.blocked |= d
	r.mu.Unlock()
	r.Freeze(d)
}

// Isolate stops forwarding for the connections that come from an IP address, old and new.
func (r *Relay) Isolate(ip string) {
	r.mu.Lock()
	r.isolated[ip] = true
	r.mu.Unlock()
	r.set(func(l *link) {
		if l.source() == ip {
			l.held = Both
		}
	})
}

// source returns the IP address that a connection comes from.
func (l *link) source() string {
	host, _, _ := net.SplitHostPort(l.ends[0].RemoteAddr().String())
	return host
}

// Allow lets new connections work; those that are held back stay so.
func (r *Relay) Allow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = 0
}

// Links returns the number of open connections.
func (r *Relay) Links() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Resume forwards everything again, including what was held back.
func (r *Relay) Resume() {
	r.mu.Lock()
	r.blocked = 0
	clear(r.isolated)
	r.mu.Unlock()
	r.set(func(l *link) { l.held = 0 })
}

// Reset closes the open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Resume()
	r.Reset()
	r.wg.Wait()
}

func (r *Relay) set(change func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		change(l)
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

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
		r.forward(&link{ends: [2]net.Conn{from, to}, changed: make(chan struct{})})
	}
}

func (r *Relay) forward(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		l.close()
		return
	}
	l.held = r.blocked
	if r.isolated[l.source()] {
		l.held = Both
	}
	r.links[l] = struct{}{}
	r.wg.Go(func() { r.copy(l, l.ends[0], l.ends[1], ToTarget) })
	r.wg.Go(func() { r.copy(l, l.ends[1], l.ends[0], FromTarget) })
}

// copy forwards one direction. Data and the end of a connection that arrive while it is
// held back wait for Resume.
func (r *Relay) copy(l *link, from, to net.Conn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.await(l, d)
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
	l.close()
	if _, open := r.links[l]; open {
		delete(r.links, l)
		l.held = 0
		close(l.changed) // the other direction may be held back
	}
}

func (r *Relay) await(l *link, d Direction) {
	for {
		r.mu.Lock()
		held, changed := l.held&d != 0 && !r.closed, l.changed
		r.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

func (l *link) close() {
	_ = l.ends[0].Close()
	_ = l.ends[1].Close()
}
