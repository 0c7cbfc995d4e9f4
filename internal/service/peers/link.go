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
	// sendCapacity limits the messages that wait for a connection or for the send window.
	sendCapacity = 1024
	// windowMessages and windowBytes limit the send window: the unacknowledged messages that
	// are kept for resending.
	windowMessages = 1024
	windowBytes    = 16 << 20
	// batchBytes is the size of the encoded frames at which they are written.
	batchBytes = 64 << 10
	// ackMessages and ackBytes are how much may arrive before an acknowledgement is sent at
	// once. Until then it is sent with the next frame, at the latest with the next heartbeat.
	ackMessages = 64
	ackBytes    = windowBytes / 16
)

// outgoing is a message that waits to be sent.
type outgoing struct {
	service string
	body    []byte
	// incarnation is the incarnation of the receiver that the message is meant for; zero if
	// none was known.
	incarnation model.Incarnation
}

// sequenceSpace is the incarnation and the link of the other side for which message ids are valid.
// Ids start again at one when the other instance has restarted or has created a new link for this
// one.
type sequenceSpace struct {
	incarnation model.Incarnation
	link        uint64
}

func sequenceSpaceOf(c *conn) sequenceSpace { return sequenceSpace{c.remote.Incarnation, c.remoteLink} }

// progress is what the receiving duty reports to the sending duty. The values are cumulative,
// so only the newest report matters.
type progress struct {
	space sequenceSpace
	// received is the id of the last message that arrived; acknowledged is the id of the last
	// message that the other instance has acknowledged.
	received     uint64
	acknowledged uint64
}

// link holds the rings and duties that exchange messages with one other instance. It outlives
// its connections.
type link struct {
	service *Service
	id      model.InstanceID
	// nonce identifies this link to the other side. A later link of the same incarnation has
	// a larger one.
	nonce uint64
	out   *ring.Ring[outgoing]
	// sendConns and recvConns pass the connection to use to the two duties.
	sendConns *ring.Ring[*conn]
	recvConns *ring.Ring[*conn]
	progress  *ring.Ring[progress]
	// ackDue wakes the sending duty to write an acknowledgement. Progress wakes it only while
	// the send window is full.
	ackDue *ring.Ring[struct{}]
	// incarnation is the latest known one of the other instance; the "peers" duty sets it and
	// Send reads it.
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

// nextNonce returns a link nonce that is larger than every earlier one of this process.
func (s *Service) nextNonce() uint64 {
	for {
		last := s.lastNonce.Load()
		next := max(last+1, uint64(time.Now().UnixNano()))
		if s.lastNonce.CompareAndSwap(last, next) {
			return next
		}
	}
}

// setConn passes a new connection to both duties.
func (l *link) setConn(c *conn) {
	l.incarnation.Store(uint64(c.remote.Incarnation))
	_ = l.sendConns.Offer(c)
	_ = l.recvConns.Offer(c)
}

// stop tells both duties to end and does not wait for them.
func (l *link) stop() {
	l.out.Close()
	l.sendConns.Close()
	l.recvConns.Close()
}

// unackedMessage is a message with its id that the other instance has not acknowledged.
type unackedMessage struct {
	id      uint64
	message outgoing
}

// sender is the state of the sending duty of a link. It owns the send window.
type sender struct {
	link   *link
	conn   *conn
	space  sequenceSpace
	nextID uint64
	window []unackedMessage
	bytes  int
	// lastReceived is the id of the last message that has arrived, lastAckSent the id that the
	// last frame acknowledged.
	lastReceived uint64
	lastAckSent  uint64
	// pendingProgress is progress in another sequence space: the receiving duty may already use
	// a connection that this duty has not taken up yet.
	pendingProgress progress
	lastWrite       time.Time
	// held is a message for a later incarnation than that of the connection.
	held    outgoing
	hasHeld bool
	buf     []byte
}

func (s *sender) run(ctx context.Context, d *kernel.Duty) {
	timer := time.NewTimer(s.link.service.untilHeartbeat(time.Now()))
	defer timer.Stop()
	for {
		s.pollProgress()
		var messages, progress <-chan struct{}
		switch {
		case s.conn == nil:
		case s.windowHasRoom():
			messages = s.link.out.Ready()
		default:
			progress = s.link.progress.Ready()
		}
		select {
		case <-s.link.sendConns.Ready():
			if c, ok := s.link.sendConns.TryGet(); ok {
				s.switchConn(c)
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

func (s *sender) windowHasRoom() bool { return len(s.window) < windowMessages && s.bytes < windowBytes }

// switchConn continues on a new connection and resends the unacknowledged messages. If the
// connection starts a new sequence space, those messages are dropped instead.
func (s *sender) switchConn(c *conn) {
	s.conn = c
	s.buf = append(s.buf[:0], c.helloFrame...)
	if space := sequenceSpaceOf(c); space != s.space {
		s.space = space
		s.nextID, s.window, s.bytes = 0, nil, 0
		s.lastReceived, s.lastAckSent = 0, 0
		s.applyProgress(s.pendingProgress)
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

// applyProgress removes acknowledged messages from the window. Progress in another sequence
// space is kept until its connection is in use.
func (s *sender) applyProgress(p progress) {
	if p.space != s.space {
		s.pendingProgress = p
		return
	}
	s.lastReceived = p.received
	for len(s.window) > 0 && s.window[0].id <= p.acknowledged {
		s.bytes -= len(s.window[0].message.body)
		s.window = s.window[1:]
	}
}

// pollProgress applies the newest report of the receiving duty, if there is one.
func (s *sender) pollProgress() {
	if p, ok := s.link.progress.TryGet(); ok {
		s.applyProgress(p)
	}
}

// acknowledge writes an acknowledgement if messages have arrived since the last one.
func (s *sender) acknowledge() {
	s.pollProgress()
	if s.conn != nil && s.lastAckSent != s.lastReceived {
		s.appendAck()
		s.flush()
	}
}

// sendQueued sends the messages that wait in the ring until the window is full.
func (s *sender) sendQueued() {
	s.pollProgress()
	for s.conn != nil && s.windowHasRoom() {
		m, ok := s.nextMessage()
		if !ok {
			break
		}
		s.nextID++
		p := unackedMessage{id: s.nextID, message: m}
		s.window = append(s.window, p)
		s.bytes += len(m.body)
		s.encode(p)
	}
	s.flush()
}

// nextMessage returns the next message for the incarnation on the connection. Messages for an
// earlier one are dropped; one for a later one is held until its connection is in use.
func (s *sender) nextMessage() (outgoing, bool) {
	for {
		m, ok := s.held, s.hasHeld
		if !ok {
			m, ok = s.link.out.TryGet()
		}
		if !ok {
			return m, false
		}
		s.hasHeld = m.incarnation > s.space.incarnation
		switch {
		case s.hasHeld:
			s.held = m
			return m, false
		case m.incarnation == 0 || m.incarnation == s.space.incarnation:
			return m, true
		}
	}
}

// encode appends the frame of a message to the write buffer and flushes a full buffer.
func (s *sender) encode(p unackedMessage) {
	s.append(&peerpb.Frame{
		Acknowledged: s.lastReceived,
		Message:      &peerpb.Message{Id: p.id, Service: p.message.service, Body: p.message.body},
	})
	if len(s.buf) >= batchBytes {
		s.flush()
	}
}

// append encodes a frame into the write buffer and counts its bytes.
func (s *sender) append(f *peerpb.Frame) {
	s.lastAckSent = f.GetAcknowledged()
	before := len(s.buf)
	buf, err := appendFrame(s.buf, f)
	if err != nil {
		s.failConn()
		return
	}
	s.buf = buf
	sent := s.link.service.controlTraffic
	if f.Message != nil {
		sent = s.link.service.handlers[f.Message.Service].sent
	}
	sent.add(len(s.buf) - before)
}

func (s *sender) appendAck() { s.append(&peerpb.Frame{Acknowledged: s.lastReceived}) }

// heartbeat writes an acknowledgement if one is due or nothing has been written recently.
func (s *sender) heartbeat() {
	s.pollProgress()
	if s.conn == nil {
		return
	}
	if s.lastAckSent != s.lastReceived || time.Since(s.lastWrite) >= recentWrite {
		s.appendAck()
		s.flush()
	}
}

// untilHeartbeat returns the time until the next heartbeat. All links of this instance send
// their heartbeats at the same time, so that the process wakes up once for all of them.
func (s *Service) untilHeartbeat(now time.Time) time.Duration {
	return heartbeatInterval - now.Sub(s.startedAt)%heartbeatInterval
}

// flush writes the buffer to the connection. It frees a buffer that has grown large.
func (s *sender) flush() {
	if s.conn == nil || len(s.buf) == 0 {
		return
	}
	if err := s.conn.write(s.buf); err != nil {
		s.failConn()
		return
	}
	s.lastWrite = time.Now()
	s.buf = s.buf[:0]
	if cap(s.buf) > 4*batchBytes {
		s.buf = nil
	}
}

// failConn closes the connection; the receiving duty reports its loss.
func (s *sender) failConn() {
	s.conn.close()
	s.conn = nil
	s.buf = nil
}
