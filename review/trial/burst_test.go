package trial

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bookingClients send short requests. calmUploads send long ones, and burstUploads in a burst: 1.7 times as many.
	bookingClients = 17
	calmUploads    = 16
	burstUploads   = 27
	// bookingWork is the longest work of a booking, as on the site.
	bookingWork = 110 * time.Millisecond
	burstRounds = 3
	// longBody is the largest body that the configuration allows.
	longBody = 4 << 20
)

// resident returns the resident memory of a process in bytes.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return n << 10
		}
	}
	return 0
}

// watchMemory kills an entry process that uses more memory than its settings allow, as the platform does. It
// keeps the largest use in most.
func watchMemory(r *record, m *machine, most *atomic.Int64, killed *atomic.Bool, stop <-chan struct{}) {
	p := m.process("entry")
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := resident(p.cmd.Process.Pid)
		most.Store(max(most.Load(), used))
		if used > memoryMB<<20 {
			r.add("platform: the entry of %s uses %d MB of %d MB", m.name, used>>20, memoryMB)
			m.signal("entry", syscall.SIGKILL)
			killed.Store(true)
			return
		}
	}
}

// bursts is what the rounds of a case have counted.
type bursts struct {
	most, lost, answered atomic.Int64
	kills                int
}

// longBodies lets clients send to one machine at the same time: some of them short bookings, the others requests
// with bodies as long as the configuration allows. Several bursts come one after another.
func longBodies(r *record, trouble bool) (outcome, error) {
	f, err := newFleet(r, 3, 1)
	if err != nil {
		return outcome{}, err
	}
	defer f.stopAll()
	all := newRuns()
	c := config(7, []string{"fitdesk"}, route("puxa403", "non_idempotent", "fitdesk", 6*time.Second, time.Second, nil))
	work := func(x *exchange) bool {
		time.Sleep(bookingWork/2 + rand.N(bookingWork/2))
		return x.answer(200, "booked "+x.attempt)
	}
	if err := f.startWithWorkers(all, "fitdesk", 3, 6, work, c); err != nil {
		return outcome{}, err
	}
	uploads := calmUploads
	if trouble {
		uploads = burstUploads
	}
	var b bursts
	for n := range burstRounds {
		killed := b.play(r, f.machines[3], all, n, uploads)
		if !killed {
			continue
		}
		b.kills++
		if n == burstRounds-1 {
			break
		}
		if err := f.machines[3].startAgain("entry"); err != nil {
			return outcome{}, err
		}
	}
	text := fmt.Sprintf("the entry used %d MB of %d MB at most and was killed for it %d times; %d requests answered, %d from kept channels ran at a worker and got no answer",
		b.most.Load()>>20, memoryMB, b.kills, b.answered.Load(), b.lost.Load())
	return outcome{broken: b.lost.Load() > 3, text: text}, nil
}

// play sends the requests of one round and reports whether the entry was killed.
func (b *bursts) play(r *record, entry *machine, all *runs, round, uploads int) bool {
	var killed atomic.Bool
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		watchMemory(r, entry, &b.most, &killed, stop)
	}()
	long := make([]byte, longBody)
	var wg sync.WaitGroup
	began := time.Now()
	for i := range bookingClients + uploads {
		name, body, limit := fmt.Sprintf("book-%d-%d", round, i), []byte("one loaner"), 30
		if i >= bookingClients {
			name, body, limit = fmt.Sprintf("long-%d-%d", round, i), long, 4
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			ch, err := open(entry.callers())
			if err != nil {
				return
			}
			defer ch.close()
			for n := range limit {
				attempt, content := fmt.Sprintf("%s-%d", name, n), body
				if n == 0 {
					content = []byte("a first request")
				}
				r.add("client: sends %s with %d bytes", attempt, len(content))
				a := ch.call("POST", "/puxa403/2f", attempt, 6*time.Second, "", content)
				r.add("client: %s: %s", attempt, a)
				switch {
				case a.err == nil:
					b.answered.Add(1)
				case n > 0 && len(all.of(attempt)) > 0:
					// The channel is a kept one, and the request was passed on.
					b.lost.Add(1)
				}
				if !a.keep {
					return
				}
				if n == 0 && i >= bookingClients {
					// The long requests begin while bookings are under way.
					time.Sleep(time.Until(began.Add(time.Second)))
				}
			}
		}()
	}
	wg.Wait()
	close(stop)
	<-watched
	return killed.Load()
}
