package httpserve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"briaryard/internal/decide/intake"
)

const (
	// refusalTime bounds the time in which a refused caller can read why.
	refusalTime = 100 * time.Millisecond
	// refusalBytes bounds what is read from a refused caller: a reset for bytes that were not read could
	// overtake the answer.
	refusalBytes = 64 << 10
)

// refuse answers with the status of a refusal. The HTTP server closes the connection after the error of the read.
func (c *Conn) refuse(why intake.Refusal, scratch []byte) {
	status := why.Status()
	text := fmt.Sprint(status, " ", http.StatusText(status))
	after := ""
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		after = "Retry-After: 1\r\n"
	}
	_ = c.raw.SetDeadline(time.Now().Add(refusalTime))
	// The caller may have disconnected already.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		text, after, len(text), text)
	_ = c.CloseWrite()
	for left := refusalBytes; left > 0 && len(scratch) > 0; {
		n, err := c.Conn.Read(scratch)
		if left -= n; err != nil {
			break
		}
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.report(c, why, status)
}

// answerEnded follows the states of the HTTP server: in StateIdle an answer has ended.
func (c *Conn) answerEnded() {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	c.answering, c.since = false, time.Now()
	if c.scanner.Lost() || c.scanner.Started() && !c.scanner.InSection() {
		// The HTTP server has read a message to its end that could not be followed.
		c.ended = &net.OpError{Op: "read", Net: "tcp", Addr: c.raw.RemoteAddr(), Err: net.ErrClosed}
	}
	g.hold(c, c.scanner.Bytes())
}

// readDeadline returns the earlier one of the deadlines of the HTTP server and of the header section.
func (c *Conn) readDeadline() time.Time {
	if c.deadline.IsZero() || !c.sectionEnd.IsZero() && c.sectionEnd.Before(c.deadline) {
		return c.sectionEnd
	}
	return c.deadline
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.forget.Do(func() {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		c.gate.remove(c)
	})
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, which the HTTP server does before it closes a connection with
// bytes that it has not read.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// ReadFrom implements io.ReaderFrom, so that the HTTP server's copies from files and connections need no buffer.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(c.Conn, r) }
