package trial

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// seedMembers core instances have a disk, and seedOthers have none.
	seedMembers, seedOthers, seedEntries = 3, 3, 3
	recovery                             = 15 * time.Second
	probeTime                            = 6 * time.Second
	lookupPatience                       = 1500 * time.Millisecond
)

// exchangedSeeds exchanges the seeds of all machines for the core instances without a disk, and ends the day with a
// kill of all processes.
func exchangedSeeds(r *record, trouble bool) (outcome, error) {
	f, err := newFleet(r, seedMembers, seedOthers+seedEntries)
	if err != nil {
		return outcome{}, err
	}
	defer f.stopAll()
	all := newRuns()
	work := func(x *exchange) bool {
		time.Sleep(15 * time.Millisecond)
		return x.answer(200, "in stock")
	}
	for _, m := range f.machines[seedMembers : seedMembers+seedOthers] {
		if err := m.start("core"); err != nil {
			return outcome{}, err
		}
	}
	for _, m := range f.machines[seedMembers+seedOthers : seedMembers+seedOthers+seedEntries-1] {
		if err := m.start("entry"); err != nil {
			return outcome{}, err
		}
	}
	c := config(7, []string{"fitdesk"}, route("puxa403", "idempotent", "fitdesk", lookupPatience, 100*time.Millisecond, map[string]any{"max_attempts": 2}))
	if err := f.startWithWorkers(all, "fitdesk", 3, 6, work, c); err != nil {
		return outcome{}, err
	}
	before := lookups(r, f, "before", probeTime)
	if trouble {
		f.exchangeSeeds()
	}
	// The operator's list, and what processes learn of the new seeds, may lag by seed_lag_s.
	time.Sleep(5 * time.Second)
	between := lookups(r, f, "after-seeds", 2*time.Second)
	if err := f.killAll(); err != nil {
		return outcome{}, err
	}
	time.Sleep(recovery)
	after := lookups(r, f, "after-kill", probeTime)
	for _, m := range f.machines {
		if m.process("core") != nil {
			r.add("operator: reads the config at %s: status %d", m.name, status(http.MethodGet, "http://"+m.control()+"/v1/config", nil))
		} else {
			r.add("platform: %s is ready: status %d", m.name, status(http.MethodGet, "http://"+m.ready()+"/v1/readiness", nil))
		}
	}
	return outcome{
		broken: 4*before.served >= before.sent && 4*after.served < after.sent,
		text:   fmt.Sprintf("served before %v, after the exchange %v, later than recovery_s after the kill %v", before, between, after),
	}, nil
}

// exchangeSeeds writes the settings of all processes anew with the core instances without a disk as seeds, and
// sends SIGHUP.
func (f *fleet) exchangeSeeds() {
	f.seeds = nil
	for _, m := range f.machines[seedMembers : seedMembers+seedOthers] {
		f.seeds = append(f.seeds, m.control())
	}
	f.record.add("platform: the seeds are now %v", f.seeds)
	for _, m := range f.machines {
		m.boot = false
		for _, role := range []string{"core", "entry"} {
			if m.process(role) == nil {
				continue
			}
			if _, err := m.writeSettings(role); err != nil {
				f.record.add("platform: %v", err)
			}
			m.signal(role, syscall.SIGHUP)
		}
	}
}

// killAll kills all processes at the same moment and starts them again within a second.
func (f *fleet) killAll() error {
	for _, m := range f.machines {
		for _, role := range []string{"core", "entry"} {
			m.signal(role, syscall.SIGKILL)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range f.machines {
		m.boot = false
		for _, role := range []string{"core", "entry"} {
			p := m.process(role)
			if p == nil {
				continue
			}
			<-p.done
			if err := m.start(role); err != nil {
				return err
			}
		}
	}
	f.record.add("platform: all processes are back")
	return nil
}

// tally counts requests.
type tally struct{ sent, served int64 }

func (t tally) String() string { return fmt.Sprintf("%d of %d", t.served, t.sent) }

// lookups sends requests to all entries for a time, each on a new channel.
func lookups(r *record, f *fleet, name string, d time.Duration) tally {
	var sent, served atomic.Int64
	var wg sync.WaitGroup
	for i := range 2 * seedEntries {
		entry := f.machines[seedMembers+seedOthers+i%seedEntries]
		wg.Add(1)
		go func() {
			defer wg.Done()
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				attempt := fmt.Sprintf("%s-%d", name, sent.Add(1))
				ch, err := open(entry.callers())
				if err != nil {
					r.add("client: %s to %s: %v", attempt, entry.name, err)
					continue
				}
				a := ch.call(http.MethodGet, "/puxa403/2f", attempt, lookupPatience, "", nil)
				ch.close()
				r.add("client: %s to %s: %s", attempt, entry.name, a)
				if a.err == nil && a.status == 200 {
					served.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	return tally{sent.Load(), served.Load()}
}
