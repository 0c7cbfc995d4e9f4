package trial

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at a worker.
type run struct {
	worker string
	at     time.Time
	status int
	// body is what the worker wrote as the body of its answer so far, and complete is set once it wrote all.
	body     []byte
	complete bool
	seal     string
}

// runs holds the executions of all workers by attempt.
type runs struct {
	mu   sync.Mutex
	list map[string][]*run
}

func newRuns() *runs { return &runs{list: make(map[string][]*run)} }

func (r *runs) add(attempt string, x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list[attempt] = append(r.list[attempt], x)
}

// wrote appends to what a run has written.
func (r *runs) wrote(x *run, data string, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.body = append(x.body, data...)
	x.complete = x.complete || complete
}

func (r *runs) of(attempt string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.list[attempt] {
		out = append(out, *x)
	}
	return out
}

// exchange is a request at a worker.
type exchange struct {
	worker  *worker
	conn    net.Conn
	request *http.Request
	attempt string
	body    []byte
	// deadline is when the worker stops work.
	deadline time.Time
	run      *run
}

// worker is a stand-in for a worker of a service. It announces itself, and runs the requests that are meant
// for it, each on the connection that it came on.
type worker struct {
	id, service, address string
	slots                int
	fleet                *fleet
	runs                 *runs
	// handle runs a request and writes its answer. It returns false to close the connection.
	handle   func(*exchange) bool
	born     int64
	running  atomic.Int64
	sequence atomic.Int64
	state    atomic.Value
	listener net.Listener
	stop     chan struct{}
}

func newWorker(f *fleet, r *runs, service string, n, slots int, handle func(*exchange) bool) (*worker, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.net, 100+n))
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: fmt.Sprintf("i-%s-%d", service, n), service: service, address: l.Addr().String(), slots: slots, fleet: f, runs: r,
		handle: handle, born: time.Now().UnixMilli(), listener: l, stop: make(chan struct{}),
	}
	w.state.Store("ready")
	go w.accept()
	return w, nil
}

// announceUntilAcknowledged announces the worker for the first time, and from then on every 1.2 s.
func (w *worker) announceUntilAcknowledged() bool {
	ok := waitFor(10*time.Second, w.announce)
	go func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(1200 * time.Millisecond):
				w.announce()
			}
		}
	}()
	return ok
}

func (w *worker) announce() bool {
	n := w.sequence.Add(1)
	body, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": zone, "version": "v1", "slots": w.slots, "state": w.state.Load(),
		"cold_remaining_ms": 0, "sequence": n, "born": w.born, "stage": "dual",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
	if err != nil {
		return false
	}
	for i := range w.fleet.seeds {
		if status(http.MethodPut, "http://"+w.fleet.seeds[(int(n)+i)%len(w.fleet.seeds)]+"/v1/instances/"+w.id, body) == 200 {
			return true
		}
	}
	return false
}

func (w *worker) close() {
	close(w.stop)
	_ = w.listener.Close()
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

// serve serves the requests of one connection one after another.
func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		x := &exchange{worker: w, conn: c, request: r, attempt: r.Header.Get("Briaryard-Attempt-Id"), body: body, deadline: time.Now().Add(time.Minute)}
		var ms int
		if _, err := fmt.Sscan(r.Header.Get("Briaryard-Deadline-Ms"), &ms); err == nil {
			x.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
		}
		if !w.one(x) {
			return
		}
	}
}

// one handles a request, and reports whether the connection stays open.
func (w *worker) one(x *exchange) bool {
	switch {
	case x.request.Header.Get("Briaryard-Expect-Instance") != w.id:
		return x.refuse(421, "")
	case w.running.Add(1) > int64(w.slots):
		w.running.Add(-1)
		return x.refuse(503, "")
	}
	defer w.running.Add(-1)
	x.run = &run{worker: w.id, at: time.Now(), seal: fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(x.attempt+w.id)))}
	w.runs.add(x.attempt, x.run)
	w.fleet.record.add("%s: runs %s, deadline in %d ms", w.id, x.attempt, time.Until(x.deadline).Milliseconds())
	return w.handle(x)
}

// refuse answers that the request was not run.
func (x *exchange) refuse(code int, more string) bool {
	x.worker.fleet.record.add("%s: refuses %s with %d, not run", x.worker.id, x.attempt, code)
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nBriaryard-Attempt-Id: %s\r\nBriaryard-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", code, http.StatusText(code), x.attempt, more)
	return err == nil
}

// head writes the status line and the header of an answer.
func (x *exchange) head(code int, fields string) error {
	x.run.status = code
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nBriaryard-Attempt-Id: %s\r\nBriaryard-Server-Seal: %s\r\n%s\r\n", code, http.StatusText(code), x.attempt, x.run.seal, fields)
	return err
}

// answer writes an answer with a length.
func (x *exchange) answer(code int, body string) bool {
	if x.head(code, fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n", len(body))) != nil {
		return false
	}
	x.worker.runs.wrote(x.run, body, true)
	_, err := io.WriteString(x.conn, body)
	x.worker.fleet.record.add("%s: answered %s with %d and %d bytes", x.worker.id, x.attempt, code, len(body))
	return err == nil
}

// event writes one event of a stream in a chunk.
func (x *exchange) event(n int) bool {
	text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, x.attempt, n)
	x.worker.runs.wrote(x.run, text, false)
	_, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// endStream ends a stream as complete.
func (x *exchange) endStream() bool {
	x.worker.runs.wrote(x.run, "", true)
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	return err == nil
}
