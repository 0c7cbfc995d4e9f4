package entry

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// traceCount is the number of random traces. A fault in the claim handling of an earlier
// version showed up about once in 5000 traces.
const traceCount = "5000"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", traceCount)
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}

// fleet is a simple model of the environment of several machines: one control group, a
// dispatcher that grants any waiting request, and backend servers that count executions.
// Effects are delivered late, in order for each instance and in any order between instances.
type fleet struct {
	t        *rapid.T
	now      time.Time
	index    uint64
	control  *state.Machine
	machines []*Machine
	// pending are effects that have not been delivered yet.
	pending []delivery
	// executed counts the executions of each key, and of each request without a key.
	executed map[string]int
	// ranAttempts holds the executed attempts of each key.
	ranAttempts map[string]map[model.RequestID]bool
	keys        map[model.RequestID]string
	// ends counts the ends of each submission; notRun holds those that were answered not_run.
	disconnected map[model.RequestID]bool // submissions whose callers have disconnected; their answers are dropped
	ends         map[model.RequestID]int
	notRun       map[model.RequestID]bool
	// lookedUp is the step at which an attempt learned the state of its key, barrier the step
	// at which the control group set a barrier against earlier attempts or released the claim
	// for an attempt's refusal, and refused the last barrier of a key for which not_run was
	// answered. An attempt that looks up the key after the barrier counts as begun after the
	// refusal: its caller has not been answered yet when the other attempt is answered not_run.
	step     int
	lookedUp map[model.RequestID]int
	barrier  map[model.RequestID]int
	refused  map[string]int
	// joined maps a submission to the earlier request that it joined.
	joined map[model.RequestID]model.RequestID
	// arrived is the step at which a submission arrived.
	arrived map[model.RequestID]int
	running map[model.RequestID]Begin
	// answerArrived marks running requests whose answer has arrived but is not concluded.
	answerArrived map[model.RequestID]bool
	waiting       []Register
	seq           uint64
	attempts      []model.RequestID
}

// delivery is an effect of an instance's machine that is not carried out yet.
type delivery struct {
	instance int
	effect   Effect
}

var pools = map[model.PoolID]model.Pool{
	"p": {ID: "p", Kind: model.EngineServer, DefaultTier: model.Standard, DefaultDeadline: time.Minute, MaxBody: 1 << 20, MaxTokens: 10},
}

// testConfig returns a configuration with the team and, if poolDeclared is set, the pool.
func testConfig(poolDeclared bool) *model.Config {
	c := &model.Config{Teams: map[model.TeamID]model.Team{
		"t": {ID: "t", Weight: 1, HighestTier: model.Urgent, Concurrency: 4},
	}}
	if poolDeclared {
		c.Pools = pools
	}
	return c
}

func newFleet(t *rapid.T, instances int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1000, 0), control: state.NewMachine(state.DefaultLimits()),
		executed: make(map[string]int), ranAttempts: map[string]map[model.RequestID]bool{"k1": {}, "k2": {}}, keys: make(map[model.RequestID]string),
		ends: make(map[model.RequestID]int), notRun: make(map[model.RequestID]bool), disconnected: make(map[model.RequestID]bool),
		running: make(map[model.RequestID]Begin), answerArrived: make(map[model.RequestID]bool), lookedUp: make(map[model.RequestID]int), barrier: make(map[model.RequestID]int), joined: make(map[model.RequestID]model.RequestID), arrived: make(map[model.RequestID]int), refused: make(map[string]int),
	}
	for i := range instances {
		m := New(instanceID(i))
		m.SetConfig(testConfig(true))
		m.SetView(&model.View{Servers: []model.BackendServer{{ID: "s", Incarnation: 1, Slots: 10, Pools: []model.PoolID{"p"}}}})
		f.machines = append(f.machines, m)
	}
	return f
}

func instanceID(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("i%d", i)) }

func instanceOf(id model.RequestID) int { return int(id.Instance[1] - '0') }

// enqueue adds the effects of an instance's machine to the pending ones.
func (f *fleet) enqueue(instance int, effects []Effect) {
	for _, e := range effects {
		f.pending = append(f.pending, delivery{instance, e})
	}
}

// arrive submits a request without a key or with one of two keys.
func (f *fleet) arrive(t *rapid.T) {
	f.seq++
	i := rapid.IntRange(0, len(f.machines)-1).Draw(t, "instance")
	id := model.RequestID{Instance: instanceID(i), Incarnation: 1, Seq: f.seq}
	key := rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key")
	content := rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "content")
	a := Arrival{ID: id, Team: "t", Caller: "c", Pool: "p", Kind: model.EngineServer, Key: key, Call: model.Call{Prompt: []byte{content}}}
	if key != "" {
		a.Fingerprint = model.Fingerprint{content}
	}
	f.keys[id] = key
	f.step++
	f.arrived[id] = f.step
	f.attempts = append(f.attempts, id)
	f.enqueue(i, f.machines[i].Arrive(f.now, a))
}

// executionKey identifies what may be executed only once: the idempotency key, or the request
// itself if it has none.
func (f *fleet) executionKey(id model.RequestID) string {
	if key := f.keys[id]; key != "" {
		return key
	}
	return id.String()
}

// deliver carries out the oldest pending effect of a random instance.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.pending) == 0 {
		t.Skip("no pending effects")
	}
	first := rapid.IntRange(0, len(f.pending)-1).Draw(t, "pending")
	instance := f.pending[first].instance
	n := slices.IndexFunc(f.pending, func(d delivery) bool { return d.instance == instance })
	d := f.pending[n]
	f.pending = slices.Delete(f.pending, n, n+1)
	f.carryOut(t, d.instance, d.effect)
}

// carryOut executes an effect of an instance's machine and checks the invariants.
func (f *fleet) carryOut(t *rapid.T, i int, e Effect) {
	m := f.machines[i]
	switch e := e.(type) {
	case Register:
		f.waiting = append(f.waiting, e)
	case Withdraw:
		f.waiting = slices.DeleteFunc(f.waiting, func(r Register) bool { return r.Descriptor.ID == e.Request })
	case commandResult:
		f.enqueue(i, m.Controlled(f.now, e.request, e.team, e.result))
	case Control:
		f.command(t, i, e)
	case Begin:
		f.executed[f.executionKey(e.Request)]++
		if f.executed[f.executionKey(e.Request)] > 1 {
			t.Fatalf("%s was executed twice", f.executionKey(e.Request))
		}
		if at, ok := f.refused[f.keys[e.Request]]; ok && f.lookedUp[e.Request] < at {
			t.Fatalf("%s is executed although its key was answered not_run after the attempt began", e.Request)
		}
		if key := f.keys[e.Request]; key != "" {
			f.ranAttempts[key][e.Request] = true
		}
		f.running[e.Request] = e
	case Joined:
		f.joined[e.Caller] = e.Request
	case Join:
		b, ok := f.running[e.Request]
		if !ok {
			// The transfer has already ended.
			f.enqueue(i, m.Missed(e.Request, e.Caller))
			return
		}
		b.Callers = append(slices.Clone(b.Callers), e.Caller)
		f.running[e.Request] = b
	case Conclude:
		f.endAll(t, m, e.Request)
	case Replay:
		f.recordEnd(t, e.Caller)
	case Refuse:
		f.recordEnd(t, e.Caller)
		if fault.MappingOf(e.Fault).RunState == model.NotRun {
			f.checkNotRun(t, e.Caller, e.Fault)
		}
	}
}

// command applies a command to the control group and may lose the command or its result.
func (f *fleet) command(t *rapid.T, i int, e Control) {
	f.step++
	if _, lookup := e.Command.(state.Lookup); lookup {
		f.lookedUp[e.Request] = f.step
	}
	switch e.Command.(type) {
	case state.Refuse, state.Release:
		f.barrier[e.Request] = f.step
	}
	outcome := rapid.SampledFrom([]string{"answered", "answered", "answered", "lost before", "lost after"}).Draw(t, "control")
	var r state.Result
	if outcome != "lost before" {
		r = f.apply(e.Command)
	}
	if _, finish := e.Command.(state.Finish); finish && outcome != "answered" {
		// The control client resends a command until it is answered, so a lost Finish is only
		// delayed.
		r = f.apply(e.Command)
		outcome = "answered"
	}
	a := commandResult{request: e.Request, team: e.Team}
	if outcome == "answered" {
		a.result = &r
	}
	f.pending = append(f.pending, delivery{i, a})
}

// commandResult is the result of a command on its way back to the machine. A nil result is a
// timeout.
type commandResult struct {
	request model.RequestID
	team    model.TeamID
	result  *state.Result
}

func (commandResult) effect() {}

func (f *fleet) apply(c state.Command) state.Result {
	switch c := c.(type) {
	case state.Lookup:
		return f.control.Lookup(c)
	case state.Await:
		return f.control.Lookup(c.Lookup)
	}
	f.index++
	return f.control.Apply(f.index, f.now, c)
}

// checkNotRun fails if the request, or another attempt with its key that the answer covers,
// has run or is running. A key mismatch says nothing about the key and is not checked.
func (f *fleet) checkNotRun(t *rapid.T, id model.RequestID, cause fault.Fault) {
	switch cause.(type) {
	case *fault.KeyMismatch:
		return
	}
	f.notRun[id] = true
	if f.executed[id.String()] > 0 {
		t.Fatalf("%s ran, but was answered not_run (%v)", id, cause)
	}
	if first, joined := f.joined[id]; joined {
		f.barrier[id] = f.barrier[first]
	}
	if f.barrier[id] == 0 {
		// Without a barrier the answer covers every attempt that has begun.
		f.step++
		f.barrier[id] = f.step
	}
	if f.keys[id] != "" {
		f.refused[f.keys[id]] = max(f.refused[f.keys[id]], f.barrier[id])
	}
	for ran := range f.ranAttempts[f.keys[id]] {
		if f.lookedUp[ran] < max(f.barrier[id], f.arrived[id]) {
			t.Fatalf("%s ran, and %s with the same key was answered not_run (%v)", ran, id, cause)
		}
	}
}

// endAll records the end of all submissions that a running call serves.
func (f *fleet) endAll(t *rapid.T, _ *Machine, request model.RequestID) {
	b, ok := f.running[request]
	if !ok {
		t.Fatalf("%s was concluded, but is not running", request)
	}
	delete(f.running, request)
	for _, c := range b.Callers {
		f.recordEnd(t, c)
	}
}

// recordEnd records the end of a submission and fails if it has ended before.
func (f *fleet) recordEnd(t *rapid.T, id model.RequestID) {
	if f.disconnected[id] {
		return
	}
	f.ends[id]++
	if f.ends[id] > 1 {
		t.Fatalf("submission %s ended twice", id)
	}
}

// grant grants a random waiting request and may deliver the grant twice.
func (f *fleet) grant(t *rapid.T) {
	if len(f.waiting) == 0 {
		t.Skip("nothing waits")
	}
	n := rapid.IntRange(0, len(f.waiting)-1).Draw(t, "waiting")
	id := f.waiting[n].Descriptor.ID
	f.waiting = slices.Delete(f.waiting, n, n+1)
	i := instanceOf(id)
	g := model.Grant{Request: id, Pool: "p", Server: "s", Incarnation: 1, Epoch: 1}
	f.enqueue(i, f.machines[i].Granted(f.now, g))
	if rapid.Bool().Draw(t, "repeat grant") {
		f.enqueue(i, f.machines[i].Granted(f.now, g))
	}
}

// evict sheds the request that was registered first among those that wait.
func (f *fleet) evict(t *rapid.T) {
	if len(f.waiting) == 0 {
		t.Skip("nothing waits")
	}
	id := f.waiting[0].Descriptor.ID
	f.waiting = f.waiting[1:]
	i := instanceOf(id)
	f.enqueue(i, f.machines[i].Evicted(f.now, id, &fault.Shed{Tier: model.Standard}))
}

// finish ends one running call: with a complete answer, with an interruption, or with proof
// that it did not run.
func (f *fleet) finish(t *rapid.T) {
	var ids []model.RequestID
	for id := range f.running {
		if !f.answerArrived[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no running requests")
	}
	slices.SortFunc(ids, func(a, b model.RequestID) int { return int(a.Seq) - int(b.Seq) })
	id := rapid.SampledFrom(ids).Draw(t, "running")
	m := f.machines[instanceOf(id)]
	b := f.running[id]
	switch rapid.SampledFrom([]string{"whole", "whole", "failed", "not run"}).Draw(t, "end") {
	case "whole":
		f.enqueue(instanceOf(id), m.Ended(f.now, id, TransferStats{}, &model.Answer{Status: 200}))
		f.answerArrived[id] = true
		if !b.Keep {
			f.endAll(t, m, id)
		}
	case "failed":
		f.enqueue(instanceOf(id), m.Failed(id, TransferStats{}))
		f.endAll(t, m, id)
	case "not run":
		f.executed[f.executionKey(id)]--
		delete(f.ranAttempts[f.keys[id]], id)
		delete(f.running, id)
		f.enqueue(instanceOf(id), m.NotRun(f.now, id, &fault.NotAdmitted{}))
	}
}

// disconnect disconnects the caller of a random submission that has not ended and was not
// dispatched.
func (f *fleet) disconnect(t *rapid.T) {
	if len(f.attempts) == 0 {
		t.Skip("no attempts")
	}
	id := rapid.SampledFrom(f.attempts).Draw(t, "attempt")
	// A caller that disconnects gets no answer; the model counts the disconnection as its end.
	if f.ends[id] == 0 && f.running[id].Request == (model.RequestID{}) {
		i := instanceOf(id)
		if r := f.machines[i].requests[f.machines[i].attached[id]]; r != nil && r.phase != dispatched && r.phase != concluding {
			f.ends[id]++
			f.disconnected[id] = true
			f.enqueue(i, f.machines[i].CallerGone(f.now, id))
		}
	}
}

// Guards against a request that is executed twice, a submission that ends twice or never, and
// a not_run answer for a request or key that ran. Three instances run under lost commands and
// results of the control group, duplicate grants, evictions, failures and callers that
// disconnect.
func TestRequestsEndOnceAndTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":  f.arrive,
			"deliver": f.deliver,
			"grant":   f.grant,
			"evict":   f.evict,
			"finish":  f.finish,
			"gone":    f.disconnect,
			"configure": func(t *rapid.T) {
				m := f.machines[rapid.IntRange(0, len(f.machines)-1).Draw(t, "machine")]
				m.SetConfig(testConfig(rapid.Bool().Draw(t, "pool declared")))
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				for i, m := range f.machines {
					f.enqueue(i, m.Tick(f.now))
				}
			},
		})
		f.settle(t)
	})
}

// settle delivers all pending effects, lets all deadlines pass and fails if a machine still
// holds state or a submission has not ended exactly once.
func (f *fleet) settle(t *rapid.T) {
	for range 100 {
		for len(f.pending) > 0 {
			d := f.pending[0]
			f.pending = f.pending[1:]
			f.carryOut(t, d.instance, d.effect)
		}
		for id := range f.running {
			if f.answerArrived[id] {
				continue
			}
			f.enqueue(instanceOf(id), f.machines[instanceOf(id)].Failed(id, TransferStats{}))
			f.endAll(t, nil, id)
		}
		f.now = f.now.Add(time.Second)
		for i, m := range f.machines {
			f.enqueue(i, m.Tick(f.now))
		}
	}
	for i, m := range f.machines {
		if len(m.requests) > 0 || len(m.attached) > 0 || len(m.byKey) > 0 || len(m.inFlight) > 0 || m.waitingBytes != 0 || m.waitingTier != [model.TierCount]int{} {
			t.Fatalf("instance %d still holds state: %d requests, %d attached, %d keys, %v commands, %d bytes, %v waiting",
				i, len(m.requests), len(m.attached), len(m.byKey), m.inFlight, m.waitingBytes, m.waitingTier)
		}
	}
	for _, m := range f.machines {
		for team, u := range m.limits.teams {
			if u.inProgress != 0 {
				t.Fatalf("team %s still has %d requests in progress", team, u.inProgress)
			}
		}
	}
	for _, id := range f.attempts {
		if f.ends[id] != 1 {
			t.Fatalf("submission %s ended %d times", id, f.ends[id])
		}
	}
}
