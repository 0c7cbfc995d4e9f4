package trial

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeRounds is the number of times that the entry is frozen, each time with freezeStreams streams.
	freezeRounds  = 4
	freezeStreams = 48
	freezeTime    = 1500 * time.Millisecond
	// streamTimeout is the route's timeout_ms, and streamPatience the deadline of the clients.
	streamTimeout  = 2 * time.Second
	streamPatience = 6 * time.Second
	streamEvents   = 40
	eventGap       = 40 * time.Millisecond
)

// frozenEntry freezes an entry instance while its workers begin to answer streams, and wakes it after the
// route's timeout.
func frozenEntry(r *record, trouble bool) (outcome, error) {
	f, err := newFleet(r, 3, 1)
	if err != nil {
		return outcome{}, err
	}
	defer f.stopAll()
	all := newRuns()
	c := config(7, []string{"huvo11a"}, route("lohu930", "streaming", "huvo11a", streamTimeout, 600*time.Millisecond, map[string]any{"gap_slo_ms": 400}))
	if err := f.startWithWorkers(all, "huvo11a", 8, 7, streamSlowly, c); err != nil {
		return outcome{}, err
	}
	var answers []*answer
	for n := range freezeRounds {
		answers = append(answers, freezeOnce(r, f.machines[3], n, trouble)...)
		time.Sleep(time.Second)
	}
	return judgeWhole(r, all, answers), nil
}

// streamSlowly streams the answer of a worker. Its first event comes after 1.1 to 1.7 s, as with long prompts ahead
// of it, and it stops at the deadline that it received.
func streamSlowly(x *exchange) bool {
	var round, n int
	_, _ = fmt.Sscanf(x.attempt, "stream-%d-%d", &round, &n)
	time.Sleep(1100*time.Millisecond + time.Duration(n%16)*eventGap)
	if x.head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") != nil {
		return false
	}
	for i := 1; i <= streamEvents; i++ {
		if !time.Now().Before(x.deadline) || !x.event(i) {
			x.worker.fleet.record.add("%s: stops the stream of %s after %d of %d events", x.worker.id, x.attempt, i-1, streamEvents)
			return false
		}
		time.Sleep(eventGap)
	}
	return x.endStream()
}

// freezeOnce sends the streams of one round and freezes the entry meanwhile.
func freezeOnce(r *record, entry *machine, round int, trouble bool) []*answer {
	answers := make([]*answer, freezeStreams)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			attempt := fmt.Sprintf("stream-%d-%d", round, i)
			ch, err := open(entry.callers())
			if err != nil {
				answers[i] = &answer{attempt: attempt, err: err}
				return
			}
			defer ch.close()
			r.add("client: sends %s, deadline %v", attempt, streamPatience)
			answers[i] = ch.call("POST", "/lohu930/2f", attempt, streamPatience, "Briaryard-Model: m\r\nBriaryard-Token-Count: 60,160\r\n", []byte("a prompt"))
			r.add("client: %s: %s", attempt, answers[i])
		}()
	}
	if trouble {
		time.Sleep(time.Second)
		entry.signal("entry", syscall.SIGSTOP)
		time.Sleep(freezeTime)
		entry.signal("entry", syscall.SIGCONT)
	}
	wg.Wait()
	return answers
}

// judgeWhole checks the rule MIXED: a success is the whole body of a worker's answer.
func judgeWhole(r *record, all *runs, answers []*answer) outcome {
	broken := 0
	for _, a := range answers {
		if a.err != nil || a.status/100 != 2 {
			continue
		}
		whole := false
		for _, x := range all.of(a.attempt) {
			whole = whole || x.complete && x.seal == a.seal && bytes.Equal(x.body, a.body)
		}
		if !whole {
			broken++
			r.add("client: the success for %s is not the worker's whole body; its end: %q", a.attempt, tail(a.body, 200))
		}
	}
	return outcome{broken: broken > 0, text: fmt.Sprintf("%d of %d answers are complete successes with a body that is not the worker's", broken, len(answers))}
}

func tail(b []byte, n int) []byte { return b[max(len(b)-n, 0):] }
