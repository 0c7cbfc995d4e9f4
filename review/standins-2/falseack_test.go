//go:build review2

package standins

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// applyLimit is config_apply_ms, and playLimit the time in which rounds are begun.
	applyLimit = 2000 * time.Millisecond
	playLimit  = 86 * time.Second
	// restartDelay is the pause until the platform starts a process again that was killed, and downTime how
	// long the other process stays down.
	restartDelay = 60 * time.Millisecond
	downTime     = 900 * time.Millisecond
)

// playFalseAck kills two of three core processes while a change is under way at one of them, and sends the next
// change to that one as it returns.
func playFalseAck(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, options{machines: 3, disks: 3, memoryMB: 134})
	if err != nil {
		return cannot, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return cannot, err
	}
	if !eventually(20*time.Second, func() bool { return f.leader() != nil }) {
		return cannot, fmt.Errorf("no leader")
	}
	first := f.machines[0]
	version := 10
	if !eventually(10*time.Second, func() bool { return putConfig(r, "operator", f.leader(), version) == http.StatusOK }) {
		return cannot, fmt.Errorf("the first configuration was not accepted")
	}
	for _, m := range f.machines {
		m.founded = true
	}
	// A planned restart makes another machine than the first the leader.
	for n := 0; f.leader() == first && n < 3; n++ {
		first.signal(roleCore, syscall.SIGTERM)
		first.wait(roleCore)
		if err := first.start(roleCore); err != nil {
			return cannot, err
		}
		time.Sleep(3 * time.Second)
	}
	if f.leader() == first {
		return cannot, fmt.Errorf("the first machine leads")
	}
	time.Sleep(time.Second)
	usual := usualTime(r, f, &version)
	r.line("case", "a change usually takes %v", usual)
	for round := 1; time.Since(r.began) < playLimit; round++ {
		leader := f.leader()
		target, other := f.machines[0], f.machines[1]
		if leader == f.machines[1] {
			target, other = f.machines[2], f.machines[0]
		}
		// The kill comes at 0.2 to 1.25 of the usual time of a change.
		delay := time.Duration(float64(usual) * (0.2 + 0.07*float64(round*7%16)))
		r.line("case", "round %d: leader %s, change at %s, kill after %v", round, leader.name, target.name, delay)
		bad, err := falseAckRound(r, f, leader, target, other, version, delay, trouble)
		if err != nil {
			return cannot, err
		}
		if bad {
			return broken, nil
		}
		version += 10
	}
	return held, nil
}

// usualTime returns the median time in which a machine that does not lead acknowledges a change.
func usualTime(r *record, f *fleet, version *int) time.Duration {
	var took []time.Duration
	for range 9 {
		*version++
		began := time.Now()
		if putConfig(r, "operator", f.machines[0], *version) == http.StatusOK {
			took = append(took, time.Since(began))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if len(took) == 0 {
		return 2 * time.Millisecond
	}
	slices.Sort(took)
	return took[len(took)/2]
}

func falseAckRound(r *record, f *fleet, leader, target, other *machine, version int, delay time.Duration, trouble bool) (bool, error) {
	// A planned restart: the change is the first one that the new process handles.
	target.signal(roleCore, syscall.SIGTERM)
	target.wait(roleCore)
	if err := target.start(roleCore); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	// The first operator sends a change. Without an answer it sends it to another machine.
	sent := make(chan struct{})
	go func() {
		close(sent)
		if putConfig(r, "operator1", target, version+3) == 0 {
			r.line("operator1", "PUT config version %d at %s: no answer", version+3, target.name)
		}
	}()
	<-sent
	time.Sleep(delay)
	if trouble {
		target.signal(roleCore, syscall.SIGKILL)
		other.signal(roleCore, syscall.SIGKILL)
		r.line("platform", "%s core and %s core killed", target.name, other.name)
		target.wait(roleCore)
		other.wait(roleCore)
	}
	// The second operator sends the next change to the machine as it returns, again and again until it answers.
	var acked atomic.Int64
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			if putConfig(r, "operator2", target, version+5) == http.StatusOK {
				acked.Store(time.Now().UnixNano())
				return
			}
		}
	}()
	if trouble {
		time.Sleep(restartDelay)
		if err := target.start(roleCore); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
		readConfig(r, leader)
		time.Sleep(downTime - 300*time.Millisecond)
		if err := other.start(roleCore); err != nil {
			return false, err
		}
	}
	<-finished
	// A read right after the acknowledgement that shows the change ends the round.
	if at := acked.Load(); at != 0 && readConfig(r, leader) < version+5 {
		// Reads later than config_apply_ms after the acknowledgement.
		time.Sleep(time.Until(time.Unix(0, at).Add(applyLimit + 200*time.Millisecond)))
		for range 5 {
			for _, m := range []*machine{leader, other} {
				if v := readConfig(r, m); v > 0 && v < version+5 {
					r.line("case", "BROKEN: version %d was acknowledged at %s, and %s answers a read with %d", version+5, target.name, m.name, v)
					readBack(r, f)
					return true, nil
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	// The change that got no clear answer is sent again, to another machine.
	eventually(5*time.Second, func() bool { return putConfig(r, "operator1", f.leader(), version+3) == http.StatusOK })
	if !eventually(5*time.Second, func() bool { return readConfig(r, other) > 0 }) {
		return false, fmt.Errorf("%s does not answer", other.name)
	}
	time.Sleep(700 * time.Millisecond)
	return false, nil
}

// recoveryLimit is recovery_s.
const recoveryLimit = 12 * time.Second

// readBack reads the configuration once more after all processes have been back for recovery_s.
func readBack(r *record, f *fleet) {
	time.Sleep(recoveryLimit + time.Second)
	for _, m := range f.machines {
		readConfig(r, m)
	}
}
