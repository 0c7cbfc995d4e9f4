package standins

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// The case: another writer's ping names an id that ends with a line break. It names the address of a sound
// worker, as a second agent on that machine would.
func init() {
	cases["odd-id"] = func(f *fleet, trouble bool) (bool, error) {
		if err := f.startAll(); err != nil {
			return false, err
		}
		config := baseConfig()
		if err := f.putConfig(config); err != nil {
			return false, err
		}
		const body = "deposit=40;bench=7"
		var mu sync.Mutex
		changed, wrongTenant, ran := 0, 0, 0
		byWorker := make(map[string]int)
		for i := range 3 {
			_, err := f.addWorker("desk", i, 6, func(w *worker, c net.Conn, r *http.Request, got []byte) bool {
				time.Sleep(15 * time.Millisecond)
				id, tenant := r.Header.Get("Briaryard-Attempt-Id"), r.Header.Get("Briaryard-Tenant")
				f.record.logf("%s runs %s %s tenant %q body %q", w.id, r.URL.Path, id, tenant, got)
				mu.Lock()
				ran++
				byWorker[w.id]++
				if string(got) != body {
					changed++
				}
				if tenant != "t1" {
					wrongTenant++
				}
				mu.Unlock()
				plain(w, c, r, "booked")
				return true
			})
			if err != nil {
				return false, err
			}
		}
		if err := f.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		book := func(n int) {
			for i := range n {
				id := fmt.Sprintf("%016x", time.Now().UnixNano())
				m := f.machines[i%len(f.machines)]
				f.record.logf("request %s /book/1 body %q sent to %s", id, body, m.name)
				a := send(m.ip+":8221", "POST", "/book/1", "a.example", [][2]string{
					{"Authorization", "Token k1"}, {"Briaryard-Attempt-Id", id}, {"Briaryard-Deadline-Ms", "1500"}}, body, 3*time.Second)
				f.record.logf("request %s answered %d %q %v", id, a.status, a.body, a.err)
				time.Sleep(50 * time.Millisecond)
			}
		}
		book(20)
		if trouble {
			w, odd := f.workers[0], "%0A"
			if other := os.Getenv("ODD"); other != "" {
				odd = other
			}
			ping := fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`, w.address, w.zone, w.born)
			status, _ := f.callAt(f.machines[0], "PUT", "/v1/instances/"+w.id+odd, []byte(ping))
			f.record.logf("ping of another writer, PUT /v1/instances/%s%s %s: %d", w.id, odd, ping, status)
		}
		time.Sleep(time.Second)
		book(60)
		time.Sleep(5 * time.Second)
		f.record.logf("the odd entry has had no ping for over 5 s; the sound worker has gone on with its own")
		mu.Lock()
		earlier := byWorker[f.workers[0].id]
		mu.Unlock()
		book(60)
		f.record.logf("of the last 60 requests %s ran %d", f.workers[0].id, byWorker[f.workers[0].id]-earlier)
		f.record.logf("%d requests ran, %d with a changed body, %d without the tenant of the key", ran, changed, wrongTenant)
		return changed == 0 && wrongTenant == 0, nil
	}
}
