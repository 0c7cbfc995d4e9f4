package trial

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longAnswer is the length of an answer in bytes, and linkClients the number of clients that read one at the
	// same time. linkRate is the number of bytes per second that the link of the entry's machine carries.
	longAnswer  = 4_500_000
	linkClients = 2
	linkMbps    = 10
	linkRate    = linkMbps * 1_000_000 / 8
	// linkWindow and linkSegment are the window and the segment size of the link.
	linkWindow   = 32 << 10
	linkSegment  = 1400
	linkPatience = 12 * time.Second
)

// slowLink is a reader that takes bytes from a connection at an equal part of linkRate.
type slowLink struct {
	conn  net.Conn
	began time.Time
	taken int64
}

// Read implements io.Reader.
func (l *slowLink) Read(p []byte) (int, error) {
	n, err := l.conn.Read(p[:min(len(p), 4<<10)])
	l.taken += int64(n)
	time.Sleep(time.Until(l.began.Add(time.Duration(float64(l.taken) * linkClients / linkRate * float64(time.Second)))))
	return n, err
}

// callOverLink sends a request over a new channel on the slow link and reads its answer.
func callOverLink(r *record, address, attempt string) *answer {
	began := time.Now()
	a := &answer{attempt: attempt}
	defer func() { a.took = time.Since(began) }()
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegment)
		})
	}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(linkPatience))
	r.add("client: sends %s, deadline %v", attempt, linkPatience)
	if _, a.err = conn.Write(request(http.MethodGet, "/puxa403/2f", attempt, linkPatience, "", nil)); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(&slowLink{conn: conn, began: began}), &http.Request{Method: http.MethodGet})
	if err != nil {
		a.err = err
		return a
	}
	a.head, a.status, a.seal = true, resp.StatusCode, resp.Header.Get("Briaryard-Server-Seal")
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}

// stopDuringAnswer stops an entry instance while its clients read answers over the link of its machine.
func stopDuringAnswer(r *record, trouble bool) (outcome, error) {
	f, err := newFleet(r, 3, 1)
	if err != nil {
		return outcome{}, err
	}
	defer f.stopAll()
	all := newRuns()
	c := config(7, []string{"fitdesk"}, route("puxa403", "idempotent", "fitdesk", linkPatience, time.Second, nil))
	entry := f.machines[3]
	text := strings.Repeat("0123456789abcdef", longAnswer/16)
	work := func(x *exchange) bool {
		time.Sleep(15 * time.Millisecond)
		return x.answer(200, text)
	}
	if err := f.startWithWorkers(all, "fitdesk", 3, 6, work, c); err != nil {
		return outcome{}, err
	}
	answers := make([]*answer, linkClients)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = callOverLink(r, entry.callers(), fmt.Sprintf("long-%d", i))
			r.add("client: long-%d: %s", i, answers[i])
		}()
	}
	if trouble {
		time.Sleep(200 * time.Millisecond)
		signalled := time.Now()
		entry.signal("entry", syscall.SIGTERM)
		select {
		case <-entry.process("entry").done:
			r.add("platform: the entry exited %d ms after SIGTERM", time.Since(signalled).Milliseconds())
		case <-time.After(graceLimit):
			entry.signal("entry", syscall.SIGKILL)
		}
	}
	wg.Wait()
	lost := 0
	for _, a := range answers {
		for _, x := range all.of(a.attempt) {
			if x.complete && (a.err != nil || !bytes.Equal(x.body, a.body)) {
				lost++
			}
		}
	}
	return outcome{broken: lost > 0, text: fmt.Sprintf("%d of %d answers that the workers had completed ended early", lost, len(answers))}, nil
}
