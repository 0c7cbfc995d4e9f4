package peers

import (
	"context"
	"sync/atomic"
	"time"

	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/ring"
	"briaryard/internal/wire/peerpb"
)

const (
	// sendCapacity bounds the messages that wait for a connection or for the window.
	sendCapacity = 1024
	// windowMessages and windowBytes bound what is kept for resending.
	windowMessages = 1024
	windowBytes    = 16 << 20
	// batchBytes is how much is encoded before a write.
	batchBytes = 64 << 10
	// ackEvery and ackBytes are how much may arrive before an acknowledgement is sent at once.
	// Otherwise it goes with the next frame, at the latest with the next heartbeat.
	ackEvery = 64
	ackBytes = windowBytes / 16
)

// outgoing is a message that waits to be sent.
type outgoing struct {
	service string
	body    []byte
	// incarnation is the one that the message is meant for; zero if none was known.
	incarnation model.Incarnation
}

// numbering identifies the state of the other side that message ids count for. Ids start
// again at one when the other instance has restarted or has forgotten this one.
type numbering struct {
	incarnation model.Incarnation
	link        uint64
}

func numberingOf(c *conn) numbering { return numbering{c.remote.Incarnation, c.remoteLink} }

// progress is what the receiving duty tells the sending duty. The values are cumulative,
// so only the newest matters.
type progress struct {
	of numbering
	// received is the last message id that arrived; acknowledged is the last that the
	// other instance has confirmed.
	received     uint64
	acknowledged uint64
}

// link joins the duties of one other instance.
type link struct {
	service *Service
	id      model.InstanceID
	// nonce identifies this link's numbering state to the other side. A later link of the
	// same incarnation has a larger one.
	nonce uint64
	out   *ring.Ring[outgoing]
	// sendConns and recvConns carry the connection to use.
	sendConns *ring.Ring[*conn]
	recvConns *ring.Ring[*conn]
	progress  *ring.Ring[progress]
	// ackDue wakes the sending duty for an acknowledgement. Progress alone does not wake it.
	ackDue *ring.Ring[struct{}]
	// incarnation is the latest one; the "peers" duty sets it, senders read it.
	incarnation atomic.Uint64
	duties      []*kernel.Duty
}

func newLink(s *Service, id model.InstanceID) *link {
	name := string(id)
	l := &link{
		service: s, id: id, nonce: s.nextNonce(),
		out:       ring.New[outgoing]("peer-send/"+name, sendCapacity, ring.Refuse),
		sendConns: ring.New[*conn]("peer-connection/"+name, 1, ring.ReplaceOldest),
		recvConns: ring.New[*conn]("peer-connection/"+name, 1, ring.ReplaceOldest),
		progress:  ring.New[progress]("peer-progress/"+name, 1, ring.ReplaceOldest),
		ackDue:    ring.New[struct{}]("peer-ack/"+name, 1, ring.ReplaceOldest),
	}
	l.duties = []*kernel.Duty{
		s.host.Go("peer-send/"+name, func(ctx context.Context, d *kernel.Duty) { (&sender{link: l}).run(ctx, d) }, l.out),
		s.host.Go("peer-recv/"+name, func(ctx context.Context, d *kernel.Duty) { (&receiver{link: l}).run(ctx, d) }),
	}
	return l
}

// nextNonce returns a number that is larger than every earlier one of this process.
func (s *Service) nextNonce() uint64 {
	for {
		last := s.lastNonce.Load()
		next := max(last+1, uint64(time.Now().UnixNano()))
		if s.lastNonce.CompareAndSwap(last, next) {
			return next
		}
	}
}

// use makes both duties continue on a connection.
func (l *link) use(c *conn) {
	l.incarnation.Store(uint64(c.remote.Incarnation))
	_ = l.sendConns.Offer(c)
	_ = l.recvConns.Offer(c)
}

// end stops both duties without waiting for them.
func (l *link) end() {
	l.out.Close()
	l.sendConns.Close()
	l.recvConns.Close()
}

// pending is a numbered message that has not been acknowledged.
type pending struct {
	id      uint64
	message outgoing
}

// sender is the sending duty of a link. It owns the window.
type sender struct {
	link     *link
	conn     *conn
	of       numbering
	nextID   uint64
	window   []pending
	bytes    int
	received uint64
	reported uint64
	// early is progress on a connection that the receiving duty uses already and this one does
	// not.
	early     progress
	lastWrite time.Time
	held      outgoing
	isHeld    bool
	buf       []byte
}

func (s *sender) run(ctx context.Context, d *kernel.Duty) {
	timer := time.NewTimer(s.link.service.untilHeartbeat(time.Now()))
	defer timer.Stop()
	for {
		s.takeProgress()
		var messages, progress <-chan struct{}
		switch {
		case s.conn == nil:
		case s.room():
			messages = s.link.out.Ready()
		default:
			progress = s.link.progress.Ready()
		}
		select {
		case <-s.link.sendConns.Ready():
			if c, ok := s.link.sendConns.TryGet(); ok {
				s.connect(c)
			}
		case <-progress:
		case <-s.link.ackDue.Ready():
			_, _ = s.link.ackDue.TryGet()
			s.acknowledge()
		case <-messages:
			s.sendQueued()
		case <-timer.C:
			s.heartbeat()
			timer.Reset(s.link.service.untilHeartbeat(time.Now()))
		case <-s.link.sendConns.Done():
			return
		case <-ctx.Done():
			return
		}
		d.Touch(time.Now())
	}
}

func (s *sender) room() bool { return len(s.window) < windowMessages && s.bytes < windowBytes }

// connect continues on a new connection: what was not acknowledged is sent again, unless
// it was meant for an earlier incarnation.
func (s *sender) connect(c *conn) {
	s.conn = c
	s.buf = append(s.buf[:0], c.greeting...)
	if of := numberingOf(c); of != s.of {
		s.of = of
		s.nextID, s.window, s.bytes = 0, nil, 0
		s.received, s.reported = 0, 0
		s.progressed(s.early)
	}
	for _, p := range s.window {
		s.encode(p)
		if s.conn == nil {
			return
		}
	}
	s.appendAck()
	s.sendQueued()
}

func (s *sender) progressed(p progress) {
	if p.of != s.of {
		s.early = p
		return
	}
	s.received = p.received
	for len(s.window) > 0 && s.window[0].id <= p.acknowledged {
		s.bytes -= len(s.window[0].message.body)
		s.window = s.window[1:]
	}
}

// takeProgress learns what the receiving duty has seen since the last wakeup.
func (s *sender) takeProgress() {
	if p, ok := s.link.progress.TryGet(); ok {
		s.progressed(p)
	}
}

// acknowledge sends an acknowledgement if one is due.
func (s *sender) acknowledge() {
	s.takeProgress()
	if s.conn != nil && s.reported != s.received {
		s.appendAck()
		s.flush()
	}
}

// sendQueued sends what waits in the ring as far as the window has room.
func (s *sender) sendQueued() {
	s.takeProgress()
	for s.conn != nil && s.room() {
		m, ok := s.next()
		if !ok {
			break
		}
		s.nextID++
		p := pending{id: s.nextID, message: m}
		s.window = append(s.window, p)
		s.bytes += len(m.body)
		s.encode(p)
	}
	s.flush()
}

// next returns the next message for the incarnation on the connection. Messages for an
// earlier one are dropped; one for a later one is held until its connection is in use.
func (s *sender) next() (outgoing, bool) {
	for {
		m, ok := s.held, s.isHeld
		if !ok {
			m, ok = s.link.out.TryGet()
		}
		if !ok {
			return m, false
		}
		s.isHeld = m.incarnation > s.of.incarnation
		switch {
		case s.isHeld:
			s.held = m
			return m, false
		case m.incarnation == 0 || m.incarnation == s.of.incarnation:
			return m, true
		}
	}
}

func (s *sender) encode(p pending) {
	s.append(&peerpb.Frame{
		Acknowledged: s.received,
		Message:      &peerpb.Message{Id: p.id, Service: p.message.service, Body: p.message.body},
	})
	if len(s.buf) >= batchBytes {
		s.flush()
	}
}

func (s *sender) append(f *peerpb.Frame) {
	s.reported = f.GetAcknowledged()
	before := len(s.buf)
	buf, err := appendFrame(s.buf, f)
	if err != nil {
		s.fail()
		return
	}
	s.buf = buf
	sent := s.link.service.own
	if f.Message != nil {
		sent = s.link.service.handlers[f.Message.Service].sent
	}
	sent.add(len(s.buf) - before)
}

func (s *sender) appendAck() { s.append(&peerpb.Frame{Acknowledged: s.received}) }

// heartbeat writes a frame unless a message has just been sent, or when an acknowledgement is
// due.
func (s *sender) heartbeat() {
	s.takeProgress()
	if s.conn == nil {
		return
	}
	if s.reported != s.received || time.Since(s.lastWrite) >= recentWrite {
		s.appendAck()
		s.flush()
	}
}

// untilHeartbeat returns the time until the next heartbeat. The links of this instance send
// theirs at the same time, so that the process is woken once for all of them.
func (s *Service) untilHeartbeat(now time.Time) time.Duration {
	return heartbeatInterval - now.Sub(s.began)%heartbeatInterval
}

func (s *sender) flush() {
	if s.conn == nil || len(s.buf) == 0 {
		return
	}
	if err := s.conn.write(s.buf); err != nil {
		s.fail()
		return
	}
	s.lastWrite = time.Now()
	s.buf = s.buf[:0]
	if cap(s.buf) > 4*batchBytes {
		s.buf = nil
	}
}

// fail closes the connection; the receiving duty reports it.
func (s *sender) fail() {
	s.conn.close()
	s.conn = nil
	s.buf = nil
}
