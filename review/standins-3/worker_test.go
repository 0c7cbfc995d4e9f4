package standins

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a backend stand-in on one address. It registers with the cores and passes each request to
// serve, which writes the answer to the channel and reports whether the channel is kept.
type worker struct {
	fleet          *fleet
	id, service    string
	address, zone  string
	slots          int
	born, sequence int64
	state          string
	listener       net.Listener
	serve          func(w *worker, c net.Conn, r *http.Request, body []byte) bool
	mu             sync.Mutex
	stop           chan struct{}
	conns          map[net.Conn]bool
	// silent is set while the worker sends no pings, and down while its process has ended.
	silent, down bool
}

func (f *fleet) addWorker(service string, n int, slots int, serve func(w *worker, c net.Conn, r *http.Request, body []byte) bool) (*worker, error) {
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-7f3a91%02x", len(f.workers)+16), service: service, address: fmt.Sprintf("%s.%d:8080", f.network, 100+len(f.workers)),
		zone: "z" + string(rune('a'+n%3)), slots: slots, born: time.Now().UnixMilli(), state: "ready", serve: serve, stop: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
	f.workers = append(f.workers, w)
	return w, w.open()
}

func (w *worker) open() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener = l
	go w.accept(l)
	go w.beat()
	return nil
}

func (w *worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.handle(c)
	}
}

func (w *worker) handle(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBriaryard-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if e := req.Header.Get("Briaryard-Expect-Instance"); e != "" && e != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nBriaryard-Attempt-Id: %s\r\nBriaryard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Briaryard-Attempt-Id"))
			continue
		}
		if !w.serve(w, c, req, body) {
			return
		}
	}
}

// announce sends one ping and returns the status.
func (w *worker) announce(m *machine) int {
	w.mu.Lock()
	w.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		w.service, w.address, w.zone, w.slots, w.state, w.sequence, w.born)
	w.mu.Unlock()
	status, _ := w.fleet.callAt(m, "PUT", "/v1/instances/"+w.id, []byte(body))
	return status
}

func (w *worker) announceAny() bool {
	for _, m := range w.fleet.machines {
		if m.disk && w.announce(m) == 200 {
			return true
		}
	}
	return false
}

func (w *worker) beat() {
	for {
		pause := 1200 * time.Millisecond
		if !w.silent && !w.announceAny() {
			pause = 150 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.listener.Close()
	for c := range w.conns {
		c.Close()
	}
}

// plain writes a whole plain answer.
func plain(w *worker, c net.Conn, r *http.Request, text string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBriaryard-Attempt-Id: %s\r\nBriaryard-Server-Seal: seal-%s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Briaryard-Attempt-Id"), r.Header.Get("Briaryard-Attempt-Id"), len(text), text)
}
