package control_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/controlclient"
)

// recorder records the calls of control clients as a history.
type recorder struct {
	mu    sync.Mutex
	clock int64
	ops   []operation
	// sent counts how often each command was sent. Each sending but one may have taken effect
	// besides the one that was answered.
	sent map[string]int
	// isolated is a voter that only the client c0 reaches; c0 then reaches no other.
	isolated model.InstanceID
}

func (r *recorder) isolate(id model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated = id
}

// separated reports whether two instances are on different sides of the isolation.
func (r *recorder) separated(from, to model.InstanceID) bool {
	if isVoter(from) {
		from, to = to, from
	}
	return r.isolated != "" && !isVoter(from) && (from == "c0") != (to == r.isolated)
}

func commandName(c state.Command) string { return fmt.Sprintf("%T %v", c, c) }

// tap counts commands and passes each message on to next.
func (r *recorder) tap(next func(from, to model.InstanceID, body any) any) func(from, to model.InstanceID, body any) any {
	return func(from, to model.InstanceID, body any) any {
		r.mu.Lock()
		separated := r.separated(from, to)
		if m, ok := body.(port.CommandRequest); ok && !separated {
			r.sent[commandName(m.Command)]++
		}
		r.mu.Unlock()
		if separated {
			return nil
		}
		return next(from, to, body)
	}
}

// call records a command. A nil result means that no answer came.
func (r *recorder) call(client *controlclient.Remote, c state.Command) *state.Result {
	r.mu.Lock()
	r.clock++
	o := operation{input: c, call: r.clock, answer: open}
	r.mu.Unlock()
	answers := make(chan port.ControlReply, 1)
	var reply port.ControlReply
	if err := client.Do(c, func(a port.ControlReply) { answers <- a }); err == nil {
		reply = <-answers
	} else {
		reply.Err = err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	again := r.sent[commandName(c)]
	if reply.Err == nil {
		r.clock++
		closed := o
		closed.output, closed.answer = &reply.Result, r.clock
		r.ops = append(r.ops, closed)
		again--
	}
	switch c.(type) {
	case state.Lookup:
		return closedResult(reply)
	case state.ApplyConfig:
		// It is applied once, however often it is sent.
		again = min(again, 1)
		if reply.Err == nil {
			again = 0
		}
	}
	for range again {
		r.ops = append(r.ops, o)
	}
	return closedResult(reply)
}

func closedResult(r port.ControlReply) *state.Result {
	if r.Err != nil {
		return nil
	}
	return &r.Result
}

// keyTime is how long all workers make attempts for one key before they move on to the next.
const keyTime = 200 * time.Millisecond

// work acts as the entry of an instance does: it looks a key up, claims it and finishes or
// releases it, or refuses it; now and then an operator applies a configuration.
func (r *recorder) work(client *controlclient.Remote, worker int, rng *rand.Rand, until time.Time) {
	var revision model.Revision
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		id := model.RequestID{Instance: "client", Incarnation: 1, Seq: uint64(worker*1_000_000 + n + 1)}
		key := model.HashKey("team", fmt.Sprint(time.Now().UnixNano()/int64(keyTime)))
		if n%8 == 0 {
			change := fmt.Sprintf("%d-%d", worker, n)
			out := r.call(client, state.ApplyConfig{ChangeID: change, Base: revision, Number: revision + 1, Operator: change})
			if out != nil {
				revision = out.Revision
			}
		}
		seen := r.call(client, state.Lookup{Key: key})
		if seen == nil || seen.Claim == state.ClaimNone && rng.IntN(4) == 0 {
			r.call(client, state.Refuse{Key: key, Request: id})
			continue
		}
		if out := r.call(client, state.Claim{Key: key, Request: id, SeenIndex: seen.Index}); out == nil || out.Claim != state.ClaimWon {
			continue
		}
		if rng.IntN(4) == 0 {
			r.call(client, state.Finish{Key: key, Request: id, Answer: &model.Answer{Body: fmt.Append(nil, id.Seq)}})
		} else {
			r.call(client, state.Release{Key: key, Request: id})
		}
	}
}

// record runs six workers on three instances while disturb acts on the group.
func record(t *testing.T, seed uint64, span time.Duration, tap func(from, to model.InstanceID, body any) any, disturb func(g *group, r *recorder, rng *rand.Rand, until time.Time)) []operation {
	t.Logf("seed %d", seed)
	g := newGroup(t, 3)
	g.useDisks(30 * time.Millisecond)
	g.startAll()
	g.needLeader()
	r := &recorder{sent: make(map[string]int)}
	g.hub.setTap(r.tap(tap))
	until := time.Now().Add(span)
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	for i := range 3 {
		client := g.remote(model.InstanceID(fmt.Sprintf("c%d", i)))
		for j := range 2 {
			wg.Go(func() { r.work(client, 2*i+j, rand.New(rand.NewPCG(seed, uint64(2*i+j))), until) })
		}
	}
	disturb(g, r, rand.New(rand.NewPCG(seed, 99)), until)
	wg.Wait()
	// At the end every key is read, for what was lost after its last attempt.
	last := g.remote("last")
	asked := make(map[model.KeyHash]bool)
	for _, o := range r.ops {
		if l, ok := o.input.(state.Lookup); ok && !asked[l.Key] {
			asked[l.Key] = true
			r.call(last, l)
		}
	}
	return r.ops
}

// disturbances of the group: the leader crashes, is cut off with one client, or stops in the
// middle of its work while it is cut off; or all voters crash, and two of them come back first.
func disturbances(g *group, r *recorder, rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
		id := g.needLeader().id
		down := time.Duration(rng.IntN(2500)) * time.Millisecond
		switch kind := rng.IntN(4); kind {
		case 0:
			g.crash(id)
			time.Sleep(down)
			g.restart(id, false)
		case 1:
			for _, id := range g.initial {
				g.crash(id)
			}
			order := rng.Perm(len(g.initial))
			g.restart(g.initial[order[0]], false)
			g.restart(g.initial[order[1]], false)
			g.needLeader()
			time.Sleep(down)
			g.restart(g.initial[order[2]], false)
		default:
			g.hub.setCut(id, true)
			r.isolate(id)
			if kind == 2 {
				g.gates[id].stop()
			}
			time.Sleep(down)
			if kind == 2 {
				g.gates[id].resume()
			}
			time.Sleep(down / 4)
			g.hub.setCut(id, false)
			r.isolate("")
		}
	}
}

// Guards against answers that no single order of the commands explains, under the
// disturbances and with 3% of all messages lost.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				ops := record(t, seed, 2*time.Minute, lossy(seed, func(any) float64 { return 0.03 }), disturbances)
				lost := 0
				for _, o := range ops {
					if o.answer == open {
						lost++
					}
				}
				t.Logf("%d operations, %d of them open", len(ops), lost)
				if len(ops) < 1000 || lost < 10 {
					t.Errorf("too few operations, or too few of them open")
				}
				for part, ops := range check(ops) {
					t.Errorf("not linearizable: %s", part)
					for _, o := range ops {
						t.Logf("%d to %d: %T%+v: %+v", o.call, o.answer, o.input, o.input, o.output)
					}
				}
			})
		})
	}
}

// Guards against a checker that accepts everything: it must find a stale read, and voters that
// acknowledge what they have not synced and then crash together.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	pass := func(_, _ model.InstanceID, body any) any { return body }
	quiet := func(*group, *recorder, *rand.Rand, time.Time) {}
	t.Run("none", func(t *testing.T) {
		virtual(t, func(t *testing.T) {
			if bad := check(record(t, 1, 5*time.Second, pass, quiet)); len(bad) > 0 {
				t.Errorf("not linearizable: %v", bad)
			}
		})
	})
	t.Run("stale read", func(t *testing.T) {
		virtual(t, func(t *testing.T) {
			var mu sync.Mutex
			asked := make(map[string]model.KeyHash)
			first := make(map[model.KeyHash]state.Result)
			// Every lookup is answered with the claim that the first one of its key found.
			stale := func(from, to model.InstanceID, body any) any {
				mu.Lock()
				defer mu.Unlock()
				switch m := body.(type) {
				case port.CommandRequest:
					if l, ok := m.Command.(state.Lookup); ok {
						asked[fmt.Sprint(from, m.ID)] = l.Key
					}
				case port.CommandReply:
					if key, ok := asked[fmt.Sprint(to, m.ID)]; ok && !m.NotLeader {
						if old, ok := first[key]; ok {
							m.Result.Claim, m.Result.Answer = old.Claim, old.Answer
						}
						first[key] = m.Result
						return m
					}
				}
				return body
			}
			bad := check(record(t, 1, 5*time.Second, stale, quiet))
			t.Logf("found in %d keys", len(bad))
			if len(bad) == 0 {
				t.Error("the fault was not found")
			}
		})
	})
	t.Run("acknowledged before the sync", func(t *testing.T) {
		virtual(t, func(t *testing.T) {
			crashAll := func(g *group, _ *recorder, _ *rand.Rand, _ time.Time) {
				// By then all voters have the first snapshot, without which none would start.
				time.Sleep(time.Second)
				for _, id := range g.initial {
					g.disk(id).forget.Store(true)
				}
				time.Sleep(3 * time.Second)
				for _, id := range g.initial {
					g.crash(id)
				}
				for _, id := range g.initial {
					g.restart(id, false)
				}
			}
			bad := check(record(t, 1, 6*time.Second, pass, crashAll))
			t.Logf("found in %d keys", len(bad))
			if len(bad) == 0 {
				t.Error("the fault was not found")
			}
		})
	})
}
