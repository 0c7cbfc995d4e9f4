package control_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/control"
	"briaryard/internal/service/controlclient"
)

// submit resends a change until it is answered, as an operator does whose answer was lost.
func submit(t *testing.T, client *controlclient.Remote, change state.ApplyConfig) state.Result {
	for range 60 {
		answers := make(chan port.ControlReply, 1)
		if client.Do(change, func(a port.ControlReply) { answers <- a }) == nil {
			if a := <-answers; a.Err == nil {
				a.Result.Index = 0
				return a.Result
			}
		}
	}
	t.Errorf("%s was not answered", change.ChangeID)
	return state.Result{}
}

// revisionChecker checks that no heartbeat is answered with a revision below one that was accepted
// before it was sent. It passes messages on to lossy, which drops some of the answers to commands.
type revisionChecker struct {
	t        *testing.T
	accepted atomic.Uint64
	mu       sync.Mutex
	minimum  map[string]uint64
	lossy    func(from, to model.InstanceID, body any) any
}

func (r *revisionChecker) intercept(from, to model.InstanceID, body any) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := body.(type) {
	case port.Heartbeat:
		r.minimum[fmt.Sprint(from, m.Seq)] = r.accepted.Load()
	case port.HeartbeatReply:
		if minimum := r.minimum[fmt.Sprint(to, m.Seq)]; !m.NotLeader && uint64(m.Revision) < minimum {
			r.t.Errorf("%s answered with revision %d after %d was accepted", from, m.Revision, minimum)
		}
	}
	return r.lossy(from, to, body)
}

// Guards against two accepted changes with the same number, a conflict that names the wrong winner,
// a resent change that gets a different answer, and a revision that decreases. It runs 1,000 races,
// during which 20 leaders crash or transfer leadership and a fifth of the answers is lost.
func TestRacesOfOperators(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const races, seed = 1000, 1
		t.Logf("seed %d", seed)
		g := newGroup(t, 3)
		g.useDisks(5 * time.Millisecond)
		g.sessions = control.NewSessions
		g.startAll()
		g.waitForLeader()
		r := &revisionChecker{t: t, minimum: make(map[string]uint64), lossy: lossy(seed, func(body any) float64 {
			if _, ok := body.(port.CommandReply); ok {
				return 0.2
			}
			return 0
		})}
		g.hub.setIntercept(r.intercept)
		operators := []*controlclient.Remote{g.startRemote("a"), g.startRemote("b")}
		rng := rand.New(rand.NewPCG(seed, 0))
		wins := [2]int{}
		var previous [2]state.ApplyConfig
		var wantPrevious [2]state.Result
		for race := range races {
			var leaderChange sync.WaitGroup
			if race%50 == 10 {
				leaderChange.Go(func() { g.changeLeader(race%100 == 10) })
			}
			var changes [2]state.ApplyConfig
			var first [2]state.Result
			var wg sync.WaitGroup
			for i, client := range operators {
				changes[i] = state.ApplyConfig{
					ChangeID: fmt.Sprintf("%d-%d", race, i), Operator: fmt.Sprint("operator ", i), Content: fmt.Append(nil, race, i),
					Base: model.Revision(race), Number: model.Revision(race + 1),
				}
				delay := time.Duration(rng.IntN(3)) * 10 * time.Millisecond
				wg.Go(func() {
					time.Sleep(delay)
					first[i] = submit(t, client, changes[i])
					r.accepted.Store(uint64(race + 1))
				})
			}
			wg.Wait()
			winner := 0
			if first[0].Err != nil {
				winner = 1
			}
			wins[winner]++
			number := model.Revision(race + 1)
			want := [2]state.Result{{Revision: number}, {Revision: number}}
			want[1-winner].Err = &fault.ConfigConflict{
				Number: number, Current: number, WinnerChange: changes[winner].ChangeID, WinnerOperator: changes[winner].Operator,
			}
			for i, client := range operators {
				if again := submit(t, client, changes[i]); !reflect.DeepEqual(first[i], want[i]) || !reflect.DeepEqual(again, want[i]) {
					t.Fatalf("race %d, operator %d: answered %+v, then %+v, want %+v", race, i, first[i], again, want[i])
				}
			}
			leaderChange.Wait()
			// The conflict of the previous race still names the revision that was current then.
			for i, client := range operators {
				if race == 0 {
					break
				}
				if again := submit(t, client, previous[i]); !reflect.DeepEqual(again, wantPrevious[i]) {
					t.Fatalf("race %d, operator %d: after the next race answered %+v, want %+v", race-1, i, again, wantPrevious[i])
				}
			}
			previous, wantPrevious = changes, want
		}
		t.Logf("wins: %v", wins)
		if wins[0] < races/10 || wins[1] < races/10 {
			t.Errorf("the races are one-sided")
		}
	})
}

// changeLeader makes the leader crash or transfer leadership, and starts it again.
func (g *group) changeLeader(crash bool) {
	id := g.waitForLeader().id
	if crash {
		g.crash(id)
	} else {
		g.stop(id)
	}
	g.waitForLeader()
	g.restart(id, false)
}
