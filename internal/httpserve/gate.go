package httpserve

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"briaryard/internal/decide/intake"
	"briaryard/internal/event"
	"briaryard/internal/metric"
)

// Gate holds the connections of all listeners of a process and bounds what they hold before their requests are
// known. Its lock is held for a few steps at a time, and never while a byte is read or written.
type Gate struct {
	limits  Limits
	metrics *metric.Set
	log     *event.RateLimited
	// open and sections are the gauges of conns and held.
	open, sections metrics.Gauge

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	byAddress map[netip.Addr]int
	// held is the memory of all header sections, and large that of those above intake.OrdinaryBytes.
	held, large int64
}

// NewGate returns the gate of a process with a memory limit in bytes; 0 is no limit.
func NewGate(log *event.Log, m *metric.Set, limits Limits, memory int64) *Gate {
	return &Gate{
		limits: limits.resolve(memory), metrics: m, log: log.RateLimit(event.CallerRefused),
		open: m.Gauge(metric.CallerConnections, ""), sections: m.Gauge(metric.HeaderSectionBytes, ""),
		conns: make(map[*Conn]struct{}), byAddress: make(map[netip.Addr]int),
	}
}

// ReadHeaderTimeout returns the time for which the HTTP server waits for a request on a new connection. The gate
// has a shorter one for a header section that has begun.
func (g *Gate) ReadHeaderTimeout() time.Duration { return firstByteTimeout + g.limits.HeaderTimeout }

// admit adds a connection, and closes others for it where there are too many. It returns why the connection is
// refused.
func (g *Gate) admit(c *Conn) intake.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit := g.limits.MaxPerAddress; limit > 0 && g.byAddress[c.address] >= limit {
		return intake.AddressConnection
	}
	if len(g.conns) >= g.limits.MaxConnections {
		g.makeRoom()
	}
	if len(g.conns) >= g.limits.MaxConnections {
		return intake.ConnectionsUsed
	}
	g.conns[c] = struct{}{}
	g.byAddress[c.address]++
	g.open.Update(int64(len(g.conns)))
	return intake.Accepted
}

// closeBatch is the part of the connections without a request that are closed together, so that a crowd does not
// cause a choice among all for each of its connections.
const closeBatch = 32

// makeRoom closes a batch of the connections that hold most for longest without a request.
func (g *Gate) makeRoom() {
	conns, holders := g.holders(time.Now(), nil)
	for n, i := range intake.Order(holders) {
		if n >= max(1, g.limits.MaxConnections/closeBatch) {
			return
		}
		g.end(conns[i], intake.ConnectionsUsed)
	}
}

// holders returns the connections that may be closed without cutting off a request that has been read, and the one
// that has just received bytes of a header section, if any.
func (g *Gate) holders(now time.Time, receiving *Conn) ([]*Conn, []intake.Holder) {
	conns := make([]*Conn, 0, len(g.conns))
	holders := make([]intake.Holder, 0, len(g.conns))
	for c := range g.conns {
		if c == receiving || c.closable() {
			conns = append(conns, c)
			holders = append(holders, intake.Holder{Bytes: c.held, Waiting: now.Sub(c.since), Kept: c.answered && !c.scanner.Started()})
		}
	}
	return conns, holders
}

// end closes a connection and frees what it holds.
func (g *Gate) end(c *Conn, why intake.Refusal) {
	if c.ended != nil {
		return
	}
	c.ended = &net.OpError{Op: "read", Net: "tcp", Addr: c.raw.RemoteAddr(), Err: net.ErrClosed}
	_ = c.raw.Close()
	g.remove(c)
	g.report(c, why, 0)
}

// remove forgets a connection.
func (g *Gate) remove(c *Conn) {
	if _, ok := g.conns[c]; !ok {
		return
	}
	g.hold(c, 0)
	delete(g.conns, c)
	if g.byAddress[c.address]--; g.byAddress[c.address] <= 0 {
		delete(g.byAddress, c.address)
	}
	g.open.Update(int64(len(g.conns)))
}

// hold sets the memory that the header section of a connection holds. A connection that was closed while a read
// returned holds nothing any more.
func (g *Gate) hold(c *Conn, bytes int64) {
	if _, open := g.conns[c]; !open || bytes == c.held {
		return
	}
	g.held += bytes - c.held
	if c.held > intake.OrdinaryBytes {
		g.large -= c.held
	}
	if bytes > intake.OrdinaryBytes {
		g.large += bytes
	}
	c.held = bytes
	g.sections.Update(g.held)
}

// fit closes connections until the header sections fit into their memory. It returns false if the connection that
// has just received bytes is to be refused itself.
func (g *Gate) fit(c *Conn) bool {
	budget := g.limits.HeaderMemory
	largeBudget := int64(intake.LargeShare * float64(budget))
	fits := func() bool {
		return g.held <= budget && (c.held <= intake.OrdinaryBytes || g.large <= largeBudget)
	}
	if fits() {
		return true
	}
	conns, holders := g.holders(time.Now(), c)
	for _, i := range intake.Order(holders) {
		// The room for a few more sections saves the choice for each of them.
		roomy := g.held <= budget*7/8
		switch {
		case roomy && g.large <= largeBudget*7/8:
			return true
		case holders[i].Bytes == 0 || roomy && holders[i].Bytes <= intake.OrdinaryBytes:
		case conns[i] == c:
			return false
		default:
			g.end(conns[i], intake.MemoryUsed)
		}
	}
	return fits()
}

// report counts a refused caller and logs it with its address. Status is 0 if the connection was closed without
// an answer.
func (g *Gate) report(c *Conn, why intake.Refusal, status int) {
	g.metrics.Counter(metric.CallersRefused, string(why)).Inc(1)
	g.log.Emit(time.Now(), c.listener, c.raw.RemoteAddr().String(), string(why), status)
}
