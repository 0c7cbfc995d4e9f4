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
	tickInterval = 100 * time.Millisecond
	// idleTickInterval is the tick interval while every connection is open.
	idleTickInterval = time.Second
	// minDialBackoff and maxDialBackoff limit the delay between attempts to dial an address.
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 2 * time.Second
)

type message interface{ message() }

// acceptedConn is a connection that another instance opened.
type acceptedConn struct{ conn *conn }

// dialFinished is the result of dialing an address.
type dialFinished struct {
	address string
	// link is the nonce of the link that dialed; zero when the address was dialed only to
	// learn which instance answers there.
	link uint64
	conn *conn
	err  error
}

// connLost is a connection that failed.
type connLost struct {
	conn      *conn
	lastHeard time.Time
	reason    string
	// gap is set when the connection was closed because the message ids had a gap.
	gap bool
}

// connSilent is a connection on which nothing has arrived for suspectAfter.
type connSilent struct {
	conn      *conn
	lastHeard time.Time
}

// connResumed is a connection on which data arrives again after connSilent.
type connResumed struct{ conn *conn }

// instanceList lists the instances to keep connections to.
type instanceList struct{ list []model.Instance }

func (acceptedConn) message() {}
func (dialFinished) message() {}
func (connLost) message()     {}
func (connSilent) message()   {}
func (connResumed) message()  {}
func (instanceList) message() {}

// peer is the state that the "peers" duty keeps for another instance. conn is nil without a
// connection; address is where to dial, empty if unknown.
type peer struct {
	link    *link
	record  model.Instance
	conn    *conn
	address string
	// listed is set while the instance is to be kept connected: it is in the list of
	// SetInstances or answered at an address of the settings.
	listed bool
	// abandoned is the id of the last connection that was lost or replaced.
	abandoned uint64
	// remoteLink is the newest link nonce of the other side in its incarnation.
	remoteLink uint64
	// spaces identifies the message ids of the last connection.
	spaces sequenceSpaces
}

// sequenceSpaces identifies the sequence spaces of both directions: own is the nonce of this
// instance's link, remote identifies the other side.
type sequenceSpaces struct {
	own    uint64
	remote sequenceSpace
}

// dialAttempt is the state of dialing one address: whether an attempt is running, the earliest
// time of the next one, and the current backoff.
type dialAttempt struct {
	running   bool
	notBefore time.Time
	backoff   time.Duration
}

// table holds the connections and dial attempts of the "peers" duty, which owns it.
type table struct {
	service *Service
	peers   map[model.InstanceID]*peer
	// attempts holds one entry for each address that is being dialed or could not be reached.
	attempts map[string]*dialAttempt
	// seeds maps an address of the settings to the instance that answered there; empty until
	// one has.
	seeds map[string]model.InstanceID
}

func (t *table) handle(now time.Time, m message) {
	t.service.statuses.flush()
	switch m := m.(type) {
	case acceptedConn:
		t.handleAccepted(m)
	case dialFinished:
		t.handleDialed(now, m)
	case connLost:
		t.handleLost(m)
	case connSilent:
		t.reportStatus(m.conn, port.PeerSilent, m.lastHeard)
	case connResumed:
		t.reportStatus(m.conn, port.PeerHeard, now)
	case instanceList:
		t.setInstances(m.list)
	}
	t.dialDue(now)
}

func (t *table) run(ctx context.Context, d *kernel.Duty) {
	kernel.Loop[message]{
		Ring: t.service.ring, Tick: tickInterval, Handle: t.handle, OnTick: t.onTick, Quiet: t.idle, QuietTick: idleTickInterval,
	}.Run(ctx, d)
}

func (t *table) onTick(now time.Time) {
	t.service.statuses.flush()
	t.dialDue(now)
}

// idle reports whether there is nothing to dial and no status report to repeat.
func (t *table) idle() bool {
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

// handleAccepted handles a connection that another instance opened: it refuses it, answers one that
// was only opened to learn which instance answers, or installs it.
func (t *table) handleAccepted(a acceptedConn) {
	reason, knownIncarnation := t.checkConn(a.conn)
	switch {
	case reason != "":
		t.service.host.Go("peer-refuse", func(context.Context, *kernel.Duty) { t.service.refuse(a.conn, reason, knownIncarnation) })
	case a.conn.remoteLink == 0:
		t.service.host.Go("peer-introduce", func(context.Context, *kernel.Duty) { t.service.replyIdentity(a.conn) })
	default:
		t.install(a.conn)
	}
}

// checkConn returns the reason to refuse a connection, or "" if it can be used. The second value
// is the known incarnation if that of the connection is older.
func (t *table) checkConn(c *conn) (fault.RefusalReason, model.Incarnation) {
	if c.remote.ID == t.service.options.Self.ID {
		self := model.Incarnation(t.service.incarnation.Load())
		if c.remote.Incarnation < self {
			return fault.RefusedIncarnation, self
		}
		if c.remote.Incarnation > self {
			t.service.handleLaterIncarnation(c.remote.Incarnation)
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
		// The other side has replaced the link of this connection since. Using it would make
		// the receiver lose track of the messages it has received from the newer link.
		return fault.RefusedDuplicate, 0
	case p.conn == nil || c.remote.Incarnation > p.record.Incarnation || t.replaces(c, p.conn):
		return "", 0
	}
	return fault.RefusedDuplicate, 0
}

// replaces reports whether c replaces old, another connection to the same incarnation. An
// instance dials only when it has no connection, so a connection replaces an older one of the
// same direction, or one that the dialing side no longer uses. When both sides dialed at once,
// the connection that was dialed by the smaller instance id is kept.
func (t *table) replaces(c, old *conn) bool {
	if c.dialed == old.dialed || !c.dialed && c.abandoned == old.id {
		return true
	}
	return c.dialed == (t.service.options.Self.ID < c.remote.ID)
}

// handleDialed installs the connection of a successful attempt, or schedules the next attempt.
func (t *table) handleDialed(now time.Time, d dialFinished) {
	a := t.attempts[d.address]
	a.running = false
	if d.err != nil {
		a.backoff = min(max(2*a.backoff, minDialBackoff), maxDialBackoff)
		a.notBefore = now.Add(a.backoff)
		if refused, ok := d.err.(*fault.PeerRefused); ok {
			t.handleRefusal(refused)
		}
		return
	}
	delete(t.attempts, d.address)
	if _, seed := t.seeds[d.address]; seed {
		t.seeds[d.address] = d.conn.remote.ID
	}
	if d.link == 0 {
		t.handleIdentified(d)
		return
	}
	reason, _ := t.checkConn(d.conn)
	if p := t.peers[d.conn.remote.ID]; reason != "" || p == nil || p.link.nonce != d.link {
		d.conn.close() // another instance answers at the address now
		return
	}
	t.install(d.conn)
}

// handleIdentified records which instance answers at an address of the settings.
func (t *table) handleIdentified(d dialFinished) {
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
		p.listed = true
	}
}

// handleRefusal handles the reason for which another instance refused a connection.
func (t *table) handleRefusal(r *fault.PeerRefused) {
	switch r.Reason {
	case fault.RefusedDuplicate:
		return
	case fault.RefusedSelf:
		if _, seed := t.seeds[r.Address]; seed {
			t.seeds[r.Address] = t.service.options.Self.ID
		}
		return
	case fault.RefusedIncarnation:
		t.service.handleLaterIncarnation(r.Known)
	case fault.RefusedToken, fault.RefusedVersion:
	}
	t.service.log.Emit(event.PeerRefused, r.Address, string(r.Reason))
}

// install makes c the connection in use, and closes the one that it replaces.
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
		if c.helloFrame, err = t.service.helloReply(p.link.nonce); err != nil {
			c.close()
		}
	}
	p.link.setConn(c)
	t.service.log.Emit(event.PeerUp, p.record.ID, p.record.Incarnation, p.address, c.dialed)
	t.reportStatus(c, port.PeerUp, time.Now())
	if spaces := (sequenceSpaces{p.link.nonce, sequenceSpaceOf(c)}); spaces != p.spaces {
		p.spaces = spaces
		t.reportStatus(c, port.PeerReset, time.Now())
	}
}

// add creates the link of an instance.
func (t *table) add(id model.InstanceID) *peer {
	p := &peer{link: newLink(t.service, id), record: model.Instance{ID: id}}
	t.peers[id] = p
	t.publishLinks()
	return p
}

// publishLinks replaces the map of links that Send reads.
func (t *table) publishLinks() {
	links := make(map[model.InstanceID]*link, len(t.peers))
	for id, p := range t.peers {
		links[id] = p.link
	}
	t.service.links.Store(&links)
}

func (t *table) handleLost(l connLost) {
	p := t.peers[l.conn.remote.ID]
	if p == nil || p.conn != l.conn {
		return
	}
	t.reportStatus(l.conn, port.PeerDown, l.lastHeard)
	p.conn = nil
	p.abandoned = l.conn.id
	t.service.log.Emit(event.PeerDown, p.record.ID, p.record.Incarnation, l.reason)
	if l.gap {
		// The two sides disagree about the message ids. A new link makes both start again at
		// one; messages that the sender takes for delivered and that were not are lost. The
		// next connection reports that to the services.
		p.link.stop()
		p.link = newLink(t.service, p.record.ID)
		t.publishLinks()
	}
}

// reportStatus reports a change of c to the subscribers if c is the connection in use.
func (t *table) reportStatus(c *conn, state port.PeerState, lastHeard time.Time) {
	if p := t.peers[c.remote.ID]; p != nil && p.conn == c {
		t.service.statuses.send(port.PeerStatus{Instance: p.record, State: state, LastHeard: lastHeard})
	}
}

// setInstances applies a new list of instances to connect to. An instance that is no longer on
// it is removed unless a connection to it is open.
func (t *table) setInstances(list []model.Instance) {
	for _, p := range t.peers {
		p.listed = false
	}
	for _, i := range list {
		if i.ID == t.service.options.Self.ID {
			continue
		}
		p := t.peers[i.ID]
		if p == nil {
			p = t.add(i.ID)
		}
		p.listed = true
		if i.PeerAddress != "" && p.conn == nil {
			p.address = i.PeerAddress
		}
	}
	for id, p := range t.peers {
		if !p.listed && p.conn == nil {
			p.link.stop()
			delete(t.peers, id)
		}
	}
	t.publishLinks()
}

// dialDue dials every address that lacks a connection and whose backoff is over.
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

// dial starts an attempt to reach an address unless one is running or the backoff is not over.
func (t *table) dial(now time.Time, address string, link, abandoned uint64) {
	a := t.attempts[address]
	if a == nil {
		a = &dialAttempt{}
		t.attempts[address] = a
	}
	if a.running || now.Before(a.notBefore) {
		return
	}
	a.running = true
	t.service.host.Go("peer-dial/"+address, func(ctx context.Context, _ *kernel.Duty) {
		c, err := t.service.dial(ctx, address, link, abandoned)
		if t.service.ring.Put(ctx, dialFinished{address: address, link: link, conn: c, err: err}) != nil && c != nil {
			c.close()
		}
	})
}
