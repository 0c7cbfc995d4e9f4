package trial

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client saw of the answer to one attempt.
type answer struct {
	attempt string
	// err is why there is no complete answer, or nil.
	err    error
	status int
	seal   string
	echo   string
	body   []byte
	head   bool
	// keep reports whether the channel stays open.
	keep bool
	took time.Duration
}

func (a *answer) String() string {
	switch {
	case a.err != nil && !a.head:
		return fmt.Sprintf("no answer: %v after %d ms", a.err, a.took.Milliseconds())
	case a.err != nil:
		return fmt.Sprintf("status %d, incomplete after %d bytes: %v, after %d ms", a.status, len(a.body), a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, complete, %d bytes, seal %q, after %d ms", a.status, len(a.body), a.seal, a.took.Milliseconds())
}

// channel is a client's connection to an entry instance.
type channel struct {
	conn net.Conn
	in   *bufio.Reader
}

func open(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, in: bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// request returns the bytes of a request.
func request(method, path, attempt string, deadline time.Duration, fields string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nBriaryard-Attempt-Id: %s\r\nBriaryard-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s",
		method, path, host, attempt, deadline.Milliseconds(), apiKey, fields)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// call sends a request and reads its answer until the deadline of the client.
func (c *channel) call(method, path, attempt string, deadline time.Duration, fields string, body []byte) *answer {
	began := time.Now()
	a := &answer{attempt: attempt}
	defer func() { a.took = time.Since(began) }()
	_ = c.conn.SetDeadline(began.Add(deadline))
	if _, a.err = c.conn.Write(request(method, path, attempt, deadline, fields, body)); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.head, a.status, a.seal, a.echo = true, resp.StatusCode, resp.Header.Get("Briaryard-Server-Seal"), resp.Header.Get("Briaryard-Attempt-Id")
	a.body, a.err = io.ReadAll(resp.Body)
	a.keep = a.err == nil && !resp.Close
	return a
}
