package peers

import (
	"context"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

const (
	tick = 100 * time.Millisecond
	// quietTick is the interval while every connection is open.
	quietTick = time.Second
	// minRedial and maxRedial bound the pause between attempts to reach an instance.
	minRedial = 100 * time.Millisecond
	maxRedial = 2 * time.Second
)

type message interface{ message() }

// arrived is a connection that another instance opened.
type arrived struct{ conn *conn }

// dialed is the outcome of an attempt to reach an address.
type dialed struct {
	address string
	// link is zero when the attempt was only to learn who answers.
	link uint64
	conn *conn
	err  error
}

// lost is a connection that failed.
type lost struct {
	conn      *conn
	lastHeard time.Time
	reason    string
	// gap is set when the connection ended because messages are missing.
	gap bool
}

// quiet is a connection on which nothing has arrived for a while.
type quiet struct {
	conn      *conn
	lastHeard time.Time
}

// heardAgain ends quiet.
type heardAgain struct{ conn *conn }

// instances is the list of instances to keep connections to.
type instances struct{ list []model.Instance }

func (arrived) message()    {}
func (dialed) message()     {}
func (lost) message()       {}
func (quiet) message()      {}
func (heardAgain) message() {}
func (instances) message()  {}

// peer is what the "peers" duty knows of another instance.
type peer struct {
	link    *link
	record  model.Instance
	conn    *conn
	address string
	// wanted means that the membership lists the instance.
	wanted bool
	// abandoned is the last connection that was given up.
	abandoned uint64
	// remoteLink is the newest link number that the other side has shown in its incarnation.
	remoteLink uint64
	// of is the numbering of the last connection, in both directions.
	of bothNumberings
}

// bothNumberings identifies the numbering of messages in both directions.
type bothNumberings struct {
	own    uint64
	remote numbering
}

// attempt is the state of dialing one address.
type attempt struct {
	running bool
	next    time.Time
	pause   time.Duration
}

// table belongs to the "peers" duty.
type table struct {
	service *Service
	peers   map[model.InstanceID]*peer
	// attempts holds one entry for each address that was dialed without success.
	attempts map[string]*attempt
	// seeds maps an initial address to the instance that answered there.
	seeds map[string]model.InstanceID
}

func (t *table) handle(now time.Time, m message) {
	t.service.statuses.flush()
	switch m := m.(type) {
	case arrived:
		t.arrived(m)
	case dialed:
		t.dialed(now, m)
	case lost:
		t.lost(m)
	case quiet:
		t.status(m.conn, port.PeerSilent, m.lastHeard)
	case heardAgain:
		t.status(m.conn, port.PeerHeard, now)
	case instances:
		t.setInstances(m.list)
	}
	t.dialDue(now)
}

func (t *table) run(ctx context.Context, d *kernel.Duty) {
	kernel.Loop[message]{
		Ring: t.service.ring, Tick: tick, Handle: t.handle, OnTick: t.onTick, Quiet: t.quiet, QuietTick: quietTick,
	}.Run(ctx, d)
}

func (t *table) onTick(now time.Time) {
	t.service.statuses.flush()
	t.dialDue(now)
}

// quiet reports that there is nothing to dial and no report to repeat.
func (t *table) quiet() bool {
	for _, p := range t.peers {
		if p.conn == nil && p.address != "" {
			return false
		}
	}
	for _, id := range t.seeds {
		if p := t.peers[id]; id != t.service.options.Self.ID && (p == nil || p.conn == nil) {
			return false
		}
	}
	return !t.service.statuses.pending()
}

// arrived decides about a connection that another instance opened.
func (t *table) arrived(a arrived) {
	reason, known := t.judge(a.conn)
	switch {
	case reason != "":
		t.service.host.Go("peer-refuse", func(context.Context, *kernel.Duty) { t.service.refuse(a.conn, reason, known) })
	case a.conn.remoteLink == 0:
		t.service.host.Go("peer-introduce", func(context.Context, *kernel.Duty) { t.service.introduce(a.conn) })
	default:
		t.install(a.conn)
	}
}

// judge returns why a connection cannot be used, or nothing.
func (t *table) judge(c *conn) (fault.RefusalReason, model.Incarnation) {
	if c.remote.ID == t.service.options.Self.ID {
		self := model.Incarnation(t.service.incarnation.Load())
		if c.remote.Incarnation < self {
			return fault.RefusedIncarnation, self
		}
		if c.remote.Incarnation > self {
			t.service.superseded(c.remote.Incarnation)
		}
		return fault.RefusedSelf, 0
	}
	p := t.peers[c.remote.ID]
	switch {
	case p == nil:
		return "", 0
	case c.remote.Incarnation < p.record.Incarnation:
		return fault.RefusedIncarnation, p.record.Incarnation
	case c.remote.Incarnation == p.record.Incarnation && c.remoteLink != 0 && c.remoteLink < p.remoteLink:
		// A connection of a link that the other side has given up since. Using it would make
		// the receiver forget which messages of the newer link it has.
		return fault.RefusedDuplicate, 0
	case p.conn == nil || c.remote.Incarnation > p.record.Incarnation || t.replaces(c, p.conn):
		return "", 0
	}
	return fault.RefusedDuplicate, 0
}

// replaces decides between two connections to one incarnation. An instance dials only when
// it has no connection. So a connection replaces an older one of the same direction, or one
// that the dialing side has given up. When both sides dialed at once, the connection that
// the smaller id dialed stays.
func (t *table) replaces(c, old *conn) bool {
	if c.dialed == old.dialed || !c.dialed && c.abandoned == old.id {
		return true
	}
	return c.dialed == (t.service.options.Self.ID < c.remote.ID)
}

func (t *table) dialed(now time.Time, d dialed) {
	a := t.attempts[d.address]
	a.running = false
	if d.err != nil {
		a.pause = min(max(2*a.pause, minRedial), maxRedial)
		a.next = now.Add(a.pause)
		if refused, ok := d.err.(*fault.PeerRefused); ok {
			t.refused(refused)
		}
		return
	}
	delete(t.attempts, d.address)
	if _, seed := t.seeds[d.address]; seed {
		t.seeds[d.address] = d.conn.remote.ID
	}
	if d.link == 0 {
		t.introduced(d)
		return
	}
	reason, _ := t.judge(d.conn)
	if p := t.peers[d.conn.remote.ID]; reason != "" || p == nil || p.link.nonce != d.link {
		d.conn.close() // another instance answers at the address now
		return
	}
	t.install(d.conn)
}

// introduced learns who answers at an address from the settings.
func (t *table) introduced(d dialed) {
	d.conn.close()
	id := d.conn.remote.ID
	if id == t.service.options.Self.ID {
		return
	}
	if t.peers[id] == nil {
		t.add(id)
	}
	if p := t.peers[id]; p.conn == nil {
		p.address = d.address
		p.wanted = true
	}
}

func (t *table) refused(r *fault.PeerRefused) {
	switch r.Reason {
	case fault.RefusedDuplicate:
		return
	case fault.RefusedSelf:
		if _, seed := t.seeds[r.Address]; seed {
			t.seeds[r.Address] = t.service.options.Self.ID
		}
		return
	case fault.RefusedIncarnation:
		t.service.superseded(r.Known)
	case fault.RefusedToken, fault.RefusedVersion:
	}
	t.service.log.Emit(event.PeerRefused, r.Address, string(r.Reason))
}

// install makes a connection the one in use.
func (t *table) install(c *conn) {
	p := t.peers[c.remote.ID]
	if p == nil {
		p = t.add(c.remote.ID)
	}
	if p.conn != nil {
		p.abandoned = p.conn.id
		p.conn.close()
	}
	p.conn, p.record, p.remoteLink = c, c.remote, c.remoteLink
	if c.remote.PeerAddress != "" {
		p.address = c.remote.PeerAddress
	}
	if !c.dialed {
		var err error
		if c.greeting, err = t.service.greeting(p.link.nonce); err != nil {
			c.close()
		}
	}
	p.link.use(c)
	t.service.log.Emit(event.PeerUp, p.record.ID, p.record.Incarnation, p.address, c.dialed)
	t.status(c, port.PeerUp, time.Now())
	if of := (bothNumberings{p.link.nonce, numberingOf(c)}); of != p.of {
		p.of = of
		t.status(c, port.PeerReset, time.Now())
	}
}

func (t *table) add(id model.InstanceID) *peer {
	p := &peer{link: newLink(t.service, id), record: model.Instance{ID: id}}
	t.peers[id] = p
	t.publish()
	return p
}

// publish makes the links visible to Send.
func (t *table) publish() {
	links := make(map[model.InstanceID]*link, len(t.peers))
	for id, p := range t.peers {
		links[id] = p.link
	}
	t.service.links.Store(&links)
}

func (t *table) lost(l lost) {
	p := t.peers[l.conn.remote.ID]
	if p == nil || p.conn != l.conn {
		return
	}
	t.status(l.conn, port.PeerDown, l.lastHeard)
	p.conn = nil
	p.abandoned = l.conn.id
	t.service.log.Emit(event.PeerDown, p.record.ID, p.record.Incarnation, l.reason)
	if l.gap {
		// The two sides disagree about the numbering. A new link makes the other side begin
		// again at one; what it believes to be delivered and is not, is lost. The next
		// connection reports that to the services.
		p.link.end()
		p.link = newLink(t.service, p.record.ID)
		t.publish()
	}
}

// status reports a change of the connection in use.
func (t *table) status(c *conn, state port.PeerState, heard time.Time) {
	if p := t.peers[c.remote.ID]; p != nil && p.conn == c {
		t.service.statuses.send(port.PeerStatus{Instance: p.record, State: state, LastHeard: heard})
	}
}

// setInstances takes the membership's list. Instances that left it are forgotten unless a
// connection is open.
func (t *table) setInstances(list []model.Instance) {
	for _, p := range t.peers {
		p.wanted = false
	}
	for _, i := range list {
		if i.ID == t.service.options.Self.ID {
			continue
		}
		p := t.peers[i.ID]
		if p == nil {
			p = t.add(i.ID)
		}
		p.wanted = true
		if i.PeerAddress != "" && p.conn == nil {
			p.address = i.PeerAddress
		}
	}
	for id, p := range t.peers {
		if !p.wanted && p.conn == nil {
			p.link.end()
			delete(t.peers, id)
		}
	}
	t.publish()
}

// dialDue starts an attempt for every address that lacks a connection.
func (t *table) dialDue(now time.Time) {
	for _, p := range t.peers {
		if p.conn == nil && p.address != "" {
			t.dial(now, p.address, p.link.nonce, p.abandoned)
		}
	}
	for address, id := range t.seeds {
		if id == t.service.options.Self.ID {
			continue
		}
		if p := t.peers[id]; p == nil || p.conn == nil {
			t.dial(now, address, 0, 0)
		}
	}
}

func (t *table) dial(now time.Time, address string, link, abandoned uint64) {
	a := t.attempts[address]
	if a == nil {
		a = &attempt{}
		t.attempts[address] = a
	}
	if a.running || now.Before(a.next) {
		return
	}
	a.running = true
	t.service.host.Go("peer-dial/"+address, func(ctx context.Context, _ *kernel.Duty) {
		c, err := t.service.dial(ctx, address, link, abandoned)
		if t.service.ring.Put(ctx, dialed{address: address, link: link, conn: c, err: err}) != nil && c != nil {
			c.close()
		}
	})
}
