package httpbackend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/hold"
	"briaryard/internal/decide/quarantine"
	"briaryard/internal/decide/relay"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/httpmsg"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

const (
	// maxInlineRequest is the largest request in bytes that is written completely before the answer
	// is read. A server may answer a longer request before it has read all of it.
	maxInlineRequest = 4 << 10
	// maxBufferedBody is the largest body in bytes that is buffered until it is complete, so that
	// an incomplete answer can be replaced. It does not apply to event streams.
	maxBufferedBody = 256 << 10
	// maxDiscardedBody and discardTimeout bound the rest of an unneeded body that is read so that its
	// connection can be kept. A new connection costs less than reading more.
	maxDiscardedBody = 64 << 10
	discardTimeout   = 250 * time.Millisecond
	// maxStaleAnswers bounds the answers to other requests that are skipped.
	maxStaleAnswers = 2
	// readChunkSize is the buffer size in bytes for reading a long answer or a stream. With the number of
	// parts that a front end buffers for a slow caller, it bounds the memory of an answer.
	readChunkSize = 4 << 10
)

// call sends one request to one server and reads its answer.
type call struct {
	out     port.HTTPOutbound
	dialect port.Dialect
	sink    func(relay.CallEvent)
	notify  func(model.ServerNotice)
	barred  func(*model.BackendServer) (hold.Bar, bool)
	// limited reports whether the server has named a limit to this instance.
	limited func(*model.BackendServer) bool
	// evidence is the view of the parts of prompts that crash servers, and observe takes what this call shows.
	evidence *atomic.Pointer[quarantine.View]
	observe  func(quarantine.Sighting)
	log      *event.Log
	metrics  *metric.Set
	host     *kernel.Host
	// maxEventBytes bounds one event of a stream.
	maxEventBytes int
	// idleConn is the connection offered for reuse, or nil. conn is the one that the call uses.
	idleConn  *conn
	conn      *conn
	startedAt time.Time
	// firstEventAt is when the first event arrived, or when a buffered body was complete.
	firstEventAt time.Time
	eventCount   int
	lastEventID  string
	// lossCause is why the call was lost before the first event of its answer, if it was.
	lossCause error
	// writeResult receives the result of writing a long body. It is nil for a short request.
	writeResult chan error
}

// run performs the call and returns the connection if it can be reused, else nil. A cancelled call
// sends no event.
func (c *call) run(ctx context.Context) *conn {
	if !c.connect(ctx) {
		return nil
	}
	defer context.AfterFunc(ctx, c.conn.close)()
	idle := c.exchange(ctx)
	c.checkAfterLoss(ctx)
	if ctx.Err() != nil || idle <= 0 || !c.requestWritten() || c.conn.reader.Buffered() > 0 {
		c.conn.close()
		return nil
	}
	c.conn.answersRead++
	c.conn.idleUntil = clock.Boot().Add(idle)
	return c.conn
}

// connect takes the idle connection if it is reusable, else opens a new one.
func (c *call) connect(ctx context.Context) bool {
	if c.idleConn != nil {
		if c.idleConn.isReusable() {
			c.conn = c.idleConn
			return true
		}
		c.idleConn.close()
	}
	var err error
	if c.conn, err = dial(ctx, c.out.Server); err != nil {
		c.metrics.Counter(metric.BackendDials, "failed").Inc(1)
		c.sendFinal(ctx, relay.CallUnsent, err)
		return false
	}
	c.metrics.Counter(metric.BackendDials, "opened").Inc(1)
	return true
}

// sendFinal sends the last event of the call.
func (c *call) sendFinal(ctx context.Context, kind relay.CallKind, cause error) {
	if kind == relay.CallBroken && c.firstEventAt.IsZero() {
		c.lossCause = cause
	}
	if _, malformed := cause.(*fault.MalformedAnswer); malformed {
		c.metrics.Counter(metric.AnswersMalformed, "").Inc(1)
	}
	c.sendEvent(ctx, relay.CallEvent{Kind: kind, Cause: cause})
}

// sendEvent sends an event with the counts and times of the call, unless the call is cancelled.
func (c *call) sendEvent(ctx context.Context, e relay.CallEvent) {
	if ctx.Err() != nil {
		return
	}
	now := clock.Boot()
	e.ID, e.Send, e.Events, e.LastEvent = c.out.ID, c.out.Send, c.eventCount, c.lastEventID
	e.First = now.Sub(c.startedAt)
	if !c.firstEventAt.IsZero() {
		e.First, e.Rest = c.firstEventAt.Sub(c.startedAt), now.Sub(c.firstEventAt)
	}
	c.sink(e)
}

// exchange writes the request and reads the answer. It returns how long the connection may stay
// idle; it must be closed if that is not positive.
func (c *call) exchange(ctx context.Context) time.Duration {
	left := c.out.Until.Sub(clock.Boot())
	if left <= 0 {
		c.sendFinal(ctx, relay.CallUnsent, &fault.CallCancelled{Reason: "no time is left"})
		return 0
	}
	if bar, ok := c.barred(&c.out.Server); ok {
		c.sendFinal(ctx, relay.CallReturned, &fault.ServerBarred{Server: c.out.Server.ID, Leaving: bar.Leaving})
		return 0
	}
	if part, held := c.evidence.Load().Held(c.out.Parts); held && !c.out.Probe {
		c.sendFinal(ctx, relay.CallReturned, &fault.PromptQuarantined{Part: part})
		return 0
	}
	n, err := c.writeRequest(c.encodeHeader(left))
	if err != nil && n == 0 {
		c.sendFinal(ctx, relay.CallUnsent, err)
		return 0
	}
	// After a partial write the answer may still state that the request was not run.
	return c.readAnswer(ctx)
}

// encodeHeader returns the request line and the header, up to the body.
func (c *call) encodeHeader(left time.Duration) []byte {
	r := c.out.Call
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxInlineRequest))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\n")
	writeField(&b, "Host", r.Host)
	for _, f := range r.Header {
		writeField(&b, f.Name, f.Value)
	}
	for _, f := range c.dialect.CallHeader(&c.out, left) {
		writeField(&b, f.Name, f.Value)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeField(&b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeField appends one header line.
func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// writeRequest writes the request. The body of a long request is written in a duty of its own
// while the answer is read.
func (c *call) writeRequest(header []byte) (int, error) {
	body := c.out.Call.Body
	if len(header)+len(body) <= maxInlineRequest {
		return c.conn.tcp.Write(append(header, body...))
	}
	n, err := c.conn.tcp.Write(header)
	if err != nil {
		return n, err
	}
	c.writeResult = make(chan error, 1)
	tcp := c.conn.tcp
	c.host.Go("backend.http.write", func(context.Context, *kernel.Duty) {
		_, err := tcp.Write(body)
		c.writeResult <- err
	})
	return n, nil
}

// requestWritten reports whether the whole request has been written. A server that answers before it
// has read a long body continues to read it, so the connection cannot carry another request until then.
func (c *call) requestWritten() bool {
	if c.writeResult == nil {
		return true
	}
	select {
	case err := <-c.writeResult:
		return err == nil
	default:
		return false
	}
}

// readAnswer reads answers until one belongs to the request, and handles that one.
func (c *call) readAnswer(ctx context.Context) time.Duration {
	for stale := 0; ; stale++ {
		// Body.Close would read the unread part of the body. The connection is closed instead.
		resp, err := c.conn.reader.ReadHead(c.out.Call.Method) //nolint:bodyclose // see above
		if err != nil {
			c.sendFinal(ctx, relay.CallBroken, err)
			return 0
		}
		note := c.dialect.ReadAnswer(resp.StatusCode, resp.Header.Get)
		c.passOnNotice(&note, note.Attempt == c.out.Attempt)
		switch {
		case note.Attempt == c.out.Attempt, note.Attempt == "" && note.NotRun && c.conn.answersRead == 0 && stale == 0:
			return c.handleAnswer(ctx, resp, note)
		case stale >= maxStaleAnswers || c.conn.answersRead == 0 && stale == 0 && note.Attempt == "":
			c.sendFinal(ctx, relay.CallBroken, &fault.MalformedAnswer{Reason: "it does not repeat the name of the attempt"})
			return 0
		}
		// An answer to an earlier request arrived late or twice; the answer to this one may follow.
		if err := c.discardBody(resp); err != nil || resp.ContentLength < 0 && resp.TransferEncoding == nil {
			c.sendFinal(ctx, relay.CallBroken, &fault.MalformedAnswer{Reason: "it belongs to another attempt"})
			return 0
		}
	}
}

// passOnNotice passes on what the server says about itself. The answer need not belong to this request,
// and the call may have been cancelled: the server speaks for itself on its own connection. Only an answer to
// this request sets or ends a limit, because another one may be late.
func (c *call) passOnNotice(note *port.AnswerMetadata, own bool) {
	n := model.ServerNotice{
		Server: c.out.Server.ID, Incarnation: c.out.Server.Incarnation, Leaving: note.Leaving, HoldFor: note.HoldFor, Invalid: note.InvalidHoldFor,
	}
	switch {
	case !own:
	case note.Limit > 0 || note.InvalidLimit != "":
		n.Limit, n.InvalidLimit = note.Limit, note.InvalidLimit
	case c.limited(&c.out.Server):
		n.LimitEnded, n.SentAt = true, c.startedAt
	}
	if n.Leaving || n.HoldFor > 0 || n.Limit > 0 || n.LimitEnded || n.InvalidLimit != "" {
		c.notify(n)
	}
}

// discardBody reads an unneeded body to its end. It returns an error if the end is too far away in
// bytes or time; the connection must then be closed.
func (c *call) discardBody(resp *http.Response) error {
	if err := c.conn.tcp.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody+1))
	if err != nil {
		return err
	}
	if n > maxDiscardedBody {
		return &fault.MalformedAnswer{Reason: "its body is too long to be discarded"}
	}
	return c.conn.tcp.SetReadDeadline(time.Time{})
}

// handleAnswer reads the rest of the answer to this request. It returns how long the connection
// may stay idle.
func (c *call) handleAnswer(ctx context.Context, resp *http.Response, note port.AnswerMetadata) time.Duration {
	switch {
	case note.NotRun:
		kind := relay.CallFull
		if note.Absent {
			kind = relay.CallAbsent
		}
		// The head decides. The retry does not wait for a body that nobody needs.
		c.sendFinal(ctx, kind, &fault.ServerRefusal{Status: resp.StatusCode})
		return c.idleTimeoutAfter(resp, c.discardBody(resp))
	case note.ClaimsNotRun:
		c.sendFinal(ctx, relay.CallBroken, &fault.MalformedAnswer{Reason: "it promises without proof that the request was not run"})
		return 0
	case c.out.Stream && resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return c.idleTimeoutAfter(resp, c.readStream(ctx, resp))
	case c.out.Resume:
		c.sendFinal(ctx, relay.CallBroken, &fault.ServerRefusal{Status: resp.StatusCode})
		return 0
	}
	return c.idleTimeoutAfter(resp, c.readBody(ctx, resp))
}

// idleTimeoutAfter returns how long the connection may stay idle after an answer. It is zero after
// a read error and for a body that ends only with the connection.
func (c *call) idleTimeoutAfter(resp *http.Response, err error) time.Duration {
	if err != nil || resp.ContentLength < 0 && resp.TransferEncoding == nil {
		return 0
	}
	return idleTimeout(resp)
}

// answerHeader returns the status and the forwarded header fields of an answer, without its body.
func answerHeader(resp *http.Response) *model.HTTPAnswer {
	return &model.HTTPAnswer{Status: resp.StatusCode, Header: httpmsg.ForwardedFields(resp.Header, nil)}
}

// readBody reads an answer that is not an event stream. A body of at most maxBufferedBody bytes is
// sent once it is complete; a longer one is forwarded in parts.
func (c *call) readBody(ctx context.Context, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
	if err != nil {
		c.sendFinal(ctx, relay.CallBroken, err)
		return err
	}
	answer := answerHeader(resp)
	if len(body) <= maxBufferedBody {
		answer.Body = body
		c.firstEventAt = clock.Boot()
		c.eventCount = 1
		c.observeBegin(answer.Status)
		c.sendEvent(ctx, relay.CallEvent{Kind: relay.CallAnswered, Answer: answer})
		return nil
	}
	if err := c.beginAnswer(ctx, answer); err != nil {
		return err
	}
	c.forward(ctx, port.RoutedEvent{Kind: port.RoutedData, Data: body})
	for {
		part := make([]byte, readChunkSize)
		n, err := resp.Body.Read(part)
		if n > 0 {
			c.forward(ctx, port.RoutedEvent{Kind: port.RoutedData, Data: part[:n]})
		}
		if err != nil {
			return c.finishAnswer(ctx, err)
		}
	}
}

// readStream forwards complete events as they arrive.
func (c *call) readStream(ctx context.Context, resp *http.Response) error {
	events := httpmsg.NewEventSplitter(c.maxEventBytes)
	if c.out.Resume {
		events.ResumeAfter(c.out.LastEvent)
		c.lastEventID = c.out.LastEvent
	}
	buf := make([]byte, readChunkSize)
	for {
		n, err := resp.Body.Read(buf)
		data, count, feedErr := events.Feed(buf[:n])
		if count > 0 {
			if c.firstEventAt.IsZero() {
				if err := c.beginAnswer(ctx, answerHeader(resp)); err != nil {
					return err
				}
			}
			c.eventCount += count
			c.lastEventID = events.LastID()
			c.forward(ctx, port.RoutedEvent{Kind: port.RoutedData, Data: data})
		}
		switch {
		case feedErr != nil:
			return c.finishAnswer(ctx, feedErr)
		case err == io.EOF && events.PendingBytes() > 0:
			return c.finishAnswer(ctx, io.ErrUnexpectedEOF)
		case err == io.EOF && c.firstEventAt.IsZero():
			return c.finishAnswer(ctx, &fault.MalformedAnswer{Reason: "a stream without events"})
		case err != nil:
			return c.finishAnswer(ctx, err)
		}
	}
}

// beginAnswer reports that the answer has begun and waits until the relay accepts it. It returns an error
// if the call is cancelled instead, because the request has ended in another way.
func (c *call) beginAnswer(ctx context.Context, header *model.HTTPAnswer) error {
	c.firstEventAt = clock.Boot()
	c.observeBegin(header.Status)
	c.sendEvent(ctx, relay.CallEvent{Kind: relay.CallBegan, Answer: header})
	_, err := c.out.Accepted.Get(ctx)
	return err
}

// forward sends a part of the answer to the caller. It blocks while the caller's ring is full, which
// applies backpressure to the server. The error of a closed ring is ignored: that caller has been
// abandoned.
func (c *call) forward(ctx context.Context, e port.RoutedEvent) { _ = c.out.Events.Put(ctx, e) }

// finishAnswer sends the last event of an answer that is forwarded in parts. io.EOF means that the
// answer is complete; any other error means that it is broken.
func (c *call) finishAnswer(ctx context.Context, err error) error {
	if err != io.EOF {
		c.sendFinal(ctx, relay.CallBroken, err)
		return err
	}
	c.forward(ctx, port.RoutedEvent{Kind: port.RoutedEnd})
	c.sendFinal(ctx, relay.CallEnded, nil)
	return nil
}
