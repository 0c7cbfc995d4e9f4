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
	// sent counts how often each command was sent. Besides the sending that was answered, each other
	// one may have taken effect as well.
	sent map[string]int
	// isolated is a voter that only the client c0 can reach; c0 then reaches no other voter.
	isolated model.InstanceID
}

func (r *recorder) isolate(id model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated = id
}

// separated reports whether the isolation keeps a client and a voter from reaching each other.
func (r *recorder) separated(from, to model.InstanceID) bool {
	if isVoter(from) {
		from, to = to, from
	}
	return r.isolated != "" && !isVoter(from) && (from == "c0") != (to == r.isolated)
}

func commandKey(c state.Command) string { return fmt.Sprintf("%T %v", c, c) }

// intercept counts commands, drops messages between separated instances and passes the others to
// next.
func (r *recorder) intercept(next func(from, to model.InstanceID, body any) any) func(from, to model.InstanceID, body any) any {
	return func(from, to model.InstanceID, body any) any {
		r.mu.Lock()
		separated := r.separated(from, to)
		if m, ok := body.(port.CommandRequest); ok && !separated {
			r.sent[commandKey(m.Command)]++
		}
		r.mu.Unlock()
		if separated {
			return nil
		}
		return next(from, to, body)
	}
}

// call executes and records a command. A nil result means that it was not answered.
func (r *recorder) call(client *controlclient.Remote, c state.Command) *state.Result {
	r.mu.Lock()
	r.clock++
	o := operation{input: c, call: r.clock, answer: pending}
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
	repeats := r.sent[commandKey(c)]
	if reply.Err == nil {
		r.clock++
		answered := o
		answered.output, answered.answer = &reply.Result, r.clock
		r.ops = append(r.ops, answered)
		repeats--
	}
	switch c.(type) {
	case state.Lookup:
		return resultOf(reply)
	case state.ApplyConfig:
		// A change is applied once, however often it is sent.
		repeats = min(repeats, 1)
		if reply.Err == nil {
			repeats = 0
		}
	}
	for range repeats {
		r.ops = append(r.ops, o)
	}
	return resultOf(reply)
}

func resultOf(r port.ControlReply) *state.Result {
	if r.Err != nil {
		return nil
	}
	return &r.Result
}

// keyPeriod is the time during which all workers use one key before they move on to the next.
const keyPeriod = 200 * time.Millisecond

// runWorker sends the commands that the entry service of an instance sends: it looks a key up,
// claims it and finishes or releases it, or refuses it. Every eighth round also applies a
// configuration, as an operator does.
func (r *recorder) runWorker(client *controlclient.Remote, worker int, rng *rand.Rand, until time.Time) {
	var revision model.Revision
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		id := model.RequestID{Instance: "client", Incarnation: 1, Seq: uint64(worker*1_000_000 + n + 1)}
		key := model.HashKey("team", fmt.Sprint(time.Now().UnixNano()/int64(keyPeriod)))
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

// recordHistory runs six workers on three instances while injectFaults acts on the group, and
// returns the recorded operations.
func recordHistory(t *testing.T, seed uint64, duration time.Duration, intercept func(from, to model.InstanceID, body any) any, injectFaults func(g *group, r *recorder, rng *rand.Rand, until time.Time)) []operation {
	t.Logf("seed %d", seed)
	g := newGroup(t, 3)
	g.useDisks(30 * time.Millisecond)
	g.startAll()
	g.waitForLeader()
	r := &recorder{sent: make(map[string]int)}
	g.hub.setIntercept(r.intercept(intercept))
	until := time.Now().Add(duration)
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	for i := range 3 {
		client := g.startRemote(model.InstanceID(fmt.Sprintf("c%d", i)))
		for j := range 2 {
			wg.Go(func() { r.runWorker(client, 2*i+j, rand.New(rand.NewPCG(seed, uint64(2*i+j))), until) })
		}
	}
	injectFaults(g, r, rand.New(rand.NewPCG(seed, 99)), until)
	wg.Wait()
	// Read every key at the end, to find what was lost after the last command for it.
	last := g.startRemote("last")
	asked := make(map[model.KeyHash]bool)
	for _, o := range r.ops {
		if l, ok := o.input.(state.Lookup); ok && !asked[l.Key] {
			asked[l.Key] = true
			r.call(last, l)
		}
	}
	return r.ops
}

// injectRandomFaults disturbs the group until a time: the leader crashes, is isolated with one
// client, or is suspended in the middle of its work while it is isolated; or all voters crash, and
// two of them restart first.
func injectRandomFaults(g *group, r *recorder, rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
		id := g.waitForLeader().id
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
			g.waitForLeader()
			time.Sleep(down)
			g.restart(g.initial[order[2]], false)
		default:
			g.hub.setIsolated(id, true)
			r.isolate(id)
			if kind == 2 {
				g.gates[id].stop()
			}
			time.Sleep(down)
			if kind == 2 {
				g.gates[id].resume()
			}
			time.Sleep(down / 4)
			g.hub.setIsolated(id, false)
			r.isolate("")
		}
	}
}

// Guards against answers that are not linearizable under random faults and with 3% of all messages
// lost.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				ops := recordHistory(t, seed, 2*time.Minute, lossy(seed, func(any) float64 { return 0.03 }), injectRandomFaults)
				lost := 0
				for _, o := range ops {
					if o.answer == pending {
						lost++
					}
				}
				t.Logf("%d operations, %d of them pending", len(ops), lost)
				if len(ops) < 1000 || lost < 10 {
					t.Errorf("too few operations, or too few of them pending")
				}
				for part, ops := range checkHistory(ops) {
					t.Errorf("not linearizable: %s", part)
					for _, o := range ops {
						t.Logf("%d to %d: %T%+v: %+v", o.call, o.answer, o.input, o.input, o.output)
					}
				}
			})
		})
	}
}

// Guards against a checker that accepts every history: it must find a stale read, and the loss of
// claims that voters acknowledged before the sync and lost when all of them crashed.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	passThrough := func(_, _ model.InstanceID, body any) any { return body }
	noFaults := func(*group, *recorder, *rand.Rand, time.Time) {}
	t.Run("none", func(t *testing.T) {
		inVirtualTime(t, func(t *testing.T) {
			if bad := checkHistory(recordHistory(t, 1, 5*time.Second, passThrough, noFaults)); len(bad) > 0 {
				t.Errorf("not linearizable: %v", bad)
			}
		})
	})
	t.Run("stale read", func(t *testing.T) {
		inVirtualTime(t, func(t *testing.T) {
			var mu sync.Mutex
			asked := make(map[string]model.KeyHash)
			first := make(map[model.KeyHash]state.Result)
			// Every lookup is answered with the claim status that the first lookup of the key returned.
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
			bad := checkHistory(recordHistory(t, 1, 5*time.Second, stale, noFaults))
			t.Logf("found in %d keys", len(bad))
			if len(bad) == 0 {
				t.Error("the fault was not found")
			}
		})
	})
	t.Run("acknowledged before the sync", func(t *testing.T) {
		inVirtualTime(t, func(t *testing.T) {
			crashAll := func(g *group, _ *recorder, _ *rand.Rand, _ time.Time) {
				// Wait until all voters have the first snapshot, without which none would start.
				time.Sleep(time.Second)
				for _, id := range g.initial {
					g.disk(id).dropSyncs.Store(true)
				}
				time.Sleep(3 * time.Second)
				for _, id := range g.initial {
					g.crash(id)
				}
				for _, id := range g.initial {
					g.restart(id, false)
				}
			}
			bad := checkHistory(recordHistory(t, 1, 6*time.Second, passThrough, crashAll))
			t.Logf("found in %d keys", len(bad))
			if len(bad) == 0 {
				t.Error("the fault was not found")
			}
		})
	})
}
