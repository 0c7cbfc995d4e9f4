package standins

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	harmfulPart = "dead0bad"
	contact     = 3 * time.Second
)

// crash ends the worker as a crash of its process does: all channels are reset and nothing listens at its
// address. It is back after some seconds as a new incarnation.
func (w *worker) crash(back time.Duration) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down, w.silent = true, true
	w.listener.Close()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	w.mu.Unlock()
	time.AfterFunc(back, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		l, err := net.Listen("tcp", w.address)
		if err != nil {
			w.fleet.record.logf("%s cannot listen again: %v", w.id, err)
			return
		}
		w.listener, w.down, w.silent, w.sequence, w.born = l, false, false, 0, time.Now().UnixMilli()
		go w.accept(l)
		go w.announceAny()
		w.fleet.record.logf("%s is back", w.id)
	})
}

// The case: a part of a prompt crashes each worker when it has begun to write the answer.
func init() {
	cases["harmful-part"] = func(f *fleet, trouble bool) (bool, error) {
		if err := f.startAll(); err != nil {
			return false, err
		}
		if err := f.putConfig(baseConfig()); err != nil {
			return false, err
		}
		var mu sync.Mutex
		var crashes []time.Time
		late, began, beganLater, sent, sentLater := 0, map[string]bool{}, 0, 0, 0
		whole, wholeLater := 0, 0
		// The comparison in the report: crashes before the first event of the answer.
		beforeEvent := os.Getenv("BEFORE_EVENT") == "1"
		// since returns the time since the fifth crash, or a negative one before it.
		since := func() time.Duration {
			if len(crashes) < 5 {
				return -1
			}
			return time.Since(crashes[4])
		}
		for i := range 6 {
			_, err := f.addWorker("llm", i, 7, func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
				id := r.Header.Get("Briaryard-Attempt-Id")
				time.Sleep(30 * time.Millisecond)
				if !strings.Contains(r.Header.Get("Briaryard-Prompt-Prefix"), harmfulPart) {
					mu.Lock()
					began[id] = true
					mu.Unlock()
					return stream(c, r, 6, 30*time.Millisecond)
				}
				mu.Lock()
				f.record.logf("%s gets %s with the harmful part, %.1f s after the fifth crash", w.id, id, since().Seconds())
				if since() > contact {
					late++
				}
				mu.Unlock()
				e := "id: 1\ndata: tok1\n\n"
				if beforeEvent {
					e = ""
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBriaryard-Attempt-Id: %s\r\nBriaryard-Server-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				if e != "" {
					fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
				}
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				if !w.down {
					crashes = append(crashes, time.Now())
					f.record.logf("%s crashes (%d)", w.id, len(crashes))
				}
				mu.Unlock()
				w.crash(3 * time.Second)
				return false
			})
			if err != nil {
				return false, err
			}
		}
		if err := f.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		request := func(n int, harmful bool) {
			defer wg.Done()
			id := fmt.Sprintf("%016x", time.Now().UnixNano())
			prefix := fmt.Sprintf("aa0000%02x:60,%08x:200", n%4, n)
			if harmful {
				prefix = fmt.Sprintf("aa0000%02x:60,%s:300,%08x:200", n%4, harmfulPart, n)
			}
			mu.Lock()
			later := since() > 2*contact
			mu.Unlock()
			a := send(f.machines[n%len(f.machines)].ip+":8221", "POST", "/chat/1", "a.example", [][2]string{
				{"Authorization", "Token k1"}, {"Briaryard-Attempt-Id", id}, {"Briaryard-Deadline-Ms", "6000"}, {"Briaryard-Model", "m"},
				{"Briaryard-Token-Count", "560,24"}, {"Briaryard-Prompt-Prefix", prefix}}, "prompt", 7*time.Second)
			mu.Lock()
			defer mu.Unlock()
			f.record.logf("request %s harmful %v: %d, %d bytes, %v", id, harmful, a.status, len(a.body), a.err)
			if harmful {
				return
			}
			answered := a.err == nil && strings.Contains(string(a.body), "id: 6\n")
			if later {
				sentLater++
				if answered {
					wholeLater++
				}
				if began[id] {
					beganLater++
				}
			} else if len(crashes) == 0 {
				sent++
				if answered {
					whole++
				}
			}
		}
		began0 := func() (n int) {
			mu.Lock()
			defer mu.Unlock()
			return len(began)
		}
		spread := func(d time.Duration, harmful bool) {
			n := 0
			for until := time.Now().Add(d); time.Now().Before(until); n++ {
				wg.Add(1)
				go request(n*7919, harmful && n%10 == 0)
				time.Sleep(50 * time.Millisecond)
			}
		}
		spread(5*time.Second, false)
		time.Sleep(time.Second)
		before := float64(began0()) / float64(max(sent, 1))
		spread(45*time.Second, trouble)
		wg.Wait()
		after := float64(beganLater) / float64(max(sentLater, 1))
		f.record.logf("%d crashes; %d requests with the harmful part reached workers later than %v after the fifth", len(crashes), late, contact)
		f.record.logf("sound requests: share that began before %.3f, from %v after the fifth crash %.3f of %d", before, 2*contact, after, sentLater)
		f.record.logf("sound requests: answered whole before %d of %d, from %v after the fifth crash %d of %d", whole, sent, 2*contact, wholeLater, sentLater)
		return late <= 3, nil
	}
}
