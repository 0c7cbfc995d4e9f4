package httpbackend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/relay"
	"briaryard/internal/fault"
	"briaryard/internal/httpmsg"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

const (
	// inlineWrite is the size up to which a request is written before its answer is awaited. A
	// server may answer a longer one before it has read it.
	inlineWrite = 4 << 10
	// maxWhole is the size up to which an answer without events is kept until it is whole, so that
	// a broken one can be replaced.
	maxWhole = 256 << 10
	// maxForeign is the number of answers to other requests that are skipped.
	maxForeign = 2
	// chunk is the size of the parts in which an answer is read.
	chunk = 16 << 10
)

// call is one request to one server.
type call struct {
	out     port.HTTPOutbound
	dialect port.Dialect
	sink    func(relay.CallEvent)
	metrics *metric.Set
	host    *kernel.Host
	kept    *conn
	conn    *conn
	began   time.Time
	first   time.Time
	events  int
	last    string
	// written receives the outcome of a long write.
	written chan error
}

// run makes the call and returns the connection if it can be used again. A cancelled call sends no
// event.
func (c *call) run(ctx context.Context) *conn {
	if !c.connect(ctx) {
		return nil
	}
	defer context.AfterFunc(ctx, c.conn.close)()
	keep := c.exchange(ctx)
	if ctx.Err() != nil || keep <= 0 || !c.finishWrite() || c.conn.reader.Buffered() > 0 {
		c.conn.close()
		return nil
	}
	c.conn.used++
	c.conn.until = time.Now().Add(keep)
	return c.conn
}

// connect uses the kept connection if it is sound, else opens one.
func (c *call) connect(ctx context.Context) bool {
	if c.kept != nil {
		if c.kept.quiet() {
			c.conn = c.kept
			return true
		}
		c.kept.close()
	}
	var err error
	if c.conn, err = dial(ctx, c.out.Server); err != nil {
		c.metrics.Counter(metric.BackendDials, "failed").Inc(1)
		c.end(ctx, relay.CallUnsent, err)
		return false
	}
	c.metrics.Counter(metric.BackendDials, "opened").Inc(1)
	return true
}

// end sends the last event of the call.
func (c *call) end(ctx context.Context, kind relay.CallKind, cause error) {
	c.send(ctx, relay.CallEvent{Kind: kind, Cause: cause})
}

func (c *call) send(ctx context.Context, e relay.CallEvent) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	e.ID, e.Send, e.Events, e.LastEvent = c.out.ID, c.out.Send, c.events, c.last
	e.First = now.Sub(c.began)
	if !c.first.IsZero() {
		e.First, e.Rest = c.first.Sub(c.began), now.Sub(c.first)
	}
	c.sink(e)
}

// exchange writes the request and reads the answer. It returns how long the connection may be kept.
func (c *call) exchange(ctx context.Context) time.Duration {
	left := c.out.Until.Sub(clock.Boot())
	if left <= 0 {
		c.end(ctx, relay.CallUnsent, &fault.CallCancelled{Reason: "no time is left"})
		return 0
	}
	n, err := c.write(c.head(left))
	if err != nil && n == 0 {
		c.end(ctx, relay.CallUnsent, err)
		return 0
	}
	// After a failed write the answer may still say that the request was not run.
	return c.answer(ctx)
}

// head returns the request up to its body.
func (c *call) head(left time.Duration) []byte {
	r := c.out.Call
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), inlineWrite))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\n")
	field(&b, "Host", r.Host)
	for _, f := range r.Header {
		field(&b, f.Name, f.Value)
	}
	for _, f := range c.dialect.CallHeader(&c.out, left) {
		field(&b, f.Name, f.Value)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		field(&b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func field(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// write sends the request; of a long one the body goes on while the answer is awaited.
func (c *call) write(head []byte) (int, error) {
	body := c.out.Call.Body
	if len(head)+len(body) <= inlineWrite {
		return c.conn.tcp.Write(append(head, body...))
	}
	n, err := c.conn.tcp.Write(head)
	if err != nil {
		return n, err
	}
	c.written = make(chan error, 1)
	tcp := c.conn.tcp
	c.host.Go("backend.http.write", func(context.Context, *kernel.Duty) {
		_, err := tcp.Write(body)
		c.written <- err
	})
	return n, nil
}

// finishWrite reports whether the whole request has been written. A server that answers before it
// has read a long body reads on, so the connection cannot carry another request before that.
func (c *call) finishWrite() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}

// answer reads answers until one belongs to the request.
func (c *call) answer(ctx context.Context) time.Duration {
	for foreign := 0; ; foreign++ {
		c.conn.limit.left = maxHead
		// Closing the body would read what is left of it. A connection with a rest is closed instead.
		resp, err := http.ReadResponse(c.conn.reader, &http.Request{Method: c.out.Call.Method}) //nolint:bodyclose // see above
		c.conn.limit.left = unlimited
		if err != nil {
			c.end(ctx, relay.CallBroken, err)
			return 0
		}
		if resp.StatusCode < http.StatusOK {
			foreign--
			continue
		}
		note := c.dialect.ReadAnswer(resp.StatusCode, resp.Header.Get)
		switch {
		case note.Attempt == c.out.Attempt, note.Attempt == "" && note.NotRun && c.conn.used == 0 && foreign == 0:
			return c.own(ctx, resp, note)
		case foreign >= maxForeign || c.conn.used == 0 && foreign == 0 && note.Attempt == "":
			c.end(ctx, relay.CallBroken, &fault.MalformedAnswer{Reason: "it does not repeat the name of the attempt"})
			return 0
		}
		// An answer to an earlier request came late or twice; the own one may follow it.
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWhole)); err != nil || resp.ContentLength < 0 && resp.TransferEncoding == nil {
			c.end(ctx, relay.CallBroken, &fault.MalformedAnswer{Reason: "it belongs to another attempt"})
			return 0
		}
	}
}

// own reads the answer to the request.
func (c *call) own(ctx context.Context, resp *http.Response, note port.AnswerNote) time.Duration {
	switch {
	case note.NotRun:
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWhole))
		kind := relay.CallFull
		if note.Absent {
			kind = relay.CallAbsent
		}
		c.end(ctx, kind, &fault.ServerRefusal{Status: resp.StatusCode})
		return c.keepAfter(resp, err)
	case note.Promise:
		c.end(ctx, relay.CallBroken, &fault.MalformedAnswer{Reason: "it promises without proof that the request was not run"})
		return 0
	case c.out.Stream && resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return c.keepAfter(resp, c.stream(ctx, resp))
	case c.out.Resume:
		c.end(ctx, relay.CallBroken, &fault.ServerRefusal{Status: resp.StatusCode})
		return 0
	}
	return c.keepAfter(resp, c.whole(ctx, resp))
}

// keepAfter returns how long the connection may be kept after an answer.
func (c *call) keepAfter(resp *http.Response, err error) time.Duration {
	if err != nil || resp.ContentLength < 0 && resp.TransferEncoding == nil {
		return 0
	}
	return idleTime(resp)
}

func headOf(resp *http.Response) *model.HTTPAnswer {
	return &model.HTTPAnswer{Status: resp.StatusCode, Header: httpmsg.Forwarded(resp.Header, nil)}
}

// whole reads an answer without events. It is passed on once it is complete, or in parts if it is
// long.
func (c *call) whole(ctx context.Context, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole+1))
	if err != nil {
		c.end(ctx, relay.CallBroken, err)
		return err
	}
	answer := headOf(resp)
	if len(body) <= maxWhole {
		answer.Body = body
		c.first = time.Now()
		c.events = 1
		c.send(ctx, relay.CallEvent{Kind: relay.CallAnswered, Answer: answer})
		return nil
	}
	c.begin(ctx, answer)
	c.pass(ctx, port.RoutedEvent{Kind: port.RoutedData, Data: body})
	for {
		part := make([]byte, chunk)
		n, err := resp.Body.Read(part)
		if n > 0 {
			c.pass(ctx, port.RoutedEvent{Kind: port.RoutedData, Data: part[:n]})
		}
		if err != nil {
			return c.finish(ctx, err)
		}
	}
}

// stream passes on whole events as they arrive.
func (c *call) stream(ctx context.Context, resp *http.Response) error {
	var events httpmsg.Events
	if c.out.Resume {
		events.After(c.out.LastEvent)
		c.last = c.out.LastEvent
	}
	buf := make([]byte, chunk)
	for {
		n, err := resp.Body.Read(buf)
		whole, count, order := events.Take(buf[:n])
		if count > 0 {
			if c.first.IsZero() {
				c.begin(ctx, headOf(resp))
			}
			c.events += count
			c.last = events.Last()
			c.pass(ctx, port.RoutedEvent{Kind: port.RoutedData, Data: whole})
		}
		switch {
		case order != nil:
			return c.finish(ctx, order)
		case err == io.EOF && events.Rest() > 0:
			return c.finish(ctx, io.ErrUnexpectedEOF)
		case err == io.EOF && c.first.IsZero():
			return c.finish(ctx, &fault.MalformedAnswer{Reason: "a stream without events"})
		case err != nil:
			return c.finish(ctx, err)
		}
	}
}

// begin reports the begin of the answer and passes its head on.
func (c *call) begin(ctx context.Context, head *model.HTTPAnswer) {
	c.first = time.Now()
	if !c.out.Resume {
		c.pass(ctx, port.RoutedEvent{Kind: port.RoutedHead, Answer: head})
	}
	c.send(ctx, relay.CallEvent{Kind: relay.CallBegan})
}

// pass gives the caller a part of the answer. It waits while the caller's ring is full, which slows
// the server down; a ring that is closed belongs to a caller that has been given up.
func (c *call) pass(ctx context.Context, e port.RoutedEvent) { _ = c.out.Events.Put(ctx, e) }

// finish ends an answer that has begun: whole at the end of its body, else broken.
func (c *call) finish(ctx context.Context, err error) error {
	if err != io.EOF {
		c.end(ctx, relay.CallBroken, err)
		return err
	}
	c.pass(ctx, port.RoutedEvent{Kind: port.RoutedEnd})
	c.end(ctx, relay.CallEnded, nil)
	return nil
}
