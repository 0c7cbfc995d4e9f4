package standins

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case: a worker crashes and starts again under the id and at the address that it had, for another service.
func init() {
	cases["moved-worker"] = func(f *fleet, trouble bool) (bool, error) {
		if err := f.startAll(); err != nil {
			return false, err
		}
		if err := f.putConfig(baseConfig()); err != nil {
			return false, err
		}
		var mu sync.Mutex
		ran, astray := 0, 0
		// run answers a request; the service of the worker when it runs the request is what counts.
		run := func(w *worker, c net.Conn, r *http.Request, body []byte) bool {
			id := r.Header.Get("Briaryard-Attempt-Id")
			time.Sleep(15 * time.Millisecond)
			w.mu.Lock()
			service := w.service
			w.mu.Unlock()
			allowed := service == "desk" && strings.HasPrefix(r.URL.Path, "/book/") || service == "llm" && strings.HasPrefix(r.URL.Path, "/chat/")
			mu.Lock()
			ran++
			if !allowed {
				astray++
			}
			mu.Unlock()
			f.record.logf("%s of %s runs %s %s, named in Briaryard-Expect-Instance: %q", w.id, service, r.URL.Path, id, r.Header.Get("Briaryard-Expect-Instance"))
			if service == "llm" && allowed {
				return stream(c, r, 3, 10*time.Millisecond)
			}
			plain(w, c, r, "answer of "+service)
			return true
		}
		for i := range 3 {
			for _, service := range []string{"desk", "llm"} {
				if _, err := f.addWorker(service, i, 6, run); err != nil {
					return false, err
				}
			}
		}
		if err := f.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		requests := func(n int) {
			for i := range n {
				for _, target := range []string{"/book/1", "/chat/1"} {
					id := fmt.Sprintf("%016x", time.Now().UnixNano())
					m := f.machines[i%len(f.machines)]
					f.record.logf("request %s %s sent to %s", id, target, m.name)
					a := send(m.ip+":8221", "POST", target, "a.example", [][2]string{
						{"Authorization", "Token k1"}, {"Briaryard-Attempt-Id", id}, {"Briaryard-Deadline-Ms", "1500"}, {"Briaryard-Token-Count", "100,12"}}, "body", 3*time.Second)
					f.record.logf("request %s answered %d %.40q %v", id, a.status, a.body, a.err)
				}
				time.Sleep(30 * time.Millisecond)
			}
		}
		requests(20)
		if trouble {
			w := f.workers[0]
			f.record.logf("%s of desk crashes", w.id)
			w.restartAs("llm", 2500*time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		requests(100)
		f.record.logf("%d requests ran, %d of them by a service that no config allows", ran, astray)
		return astray == 0, nil
	}
}

// restartAs ends the worker as a crash does, and starts it again as a worker of another service.
func (w *worker) restartAs(service string, after time.Duration) {
	w.crash(after)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.service = service
}
