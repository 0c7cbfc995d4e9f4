package dispatch_test

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/model"
)

func sorted[V any](m map[model.RequestID]V) []model.RequestID {
	return slices.SortedFunc(maps.Keys(m), func(a, b model.RequestID) int { return cmp.Compare(a.Seq, b.Seq) })
}

// runTrace drives random steps and checks every decision.
func runTrace(t *rapid.T, w *world) {
	steps := rapid.IntRange(20, 200).Draw(t, "steps")
	for range steps {
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
		w.step(t, rapid.IntRange(0, 13).Draw(t, "step"))
		w.take(t)
		w.checkCounts(t)
	}
}

func (w *world) step(t *rapid.T, step int) {
	switch {
	case step <= 5:
		tier := model.Tier(rapid.IntRange(0, model.TierCount-1).Draw(t, "tier"))
		team := rapid.SampledFrom([]model.TeamID{"a", "b"}).Draw(t, "team")
		prompt := rapid.SampledFrom([]int{1, 50, 500, 5000}).Draw(t, "prompt")
		d := w.register(tier, team, prompt, time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second)
		w.take(t)
		w.pool.Register(w.now, d)
	case step <= 8 && len(w.outstanding) > 0:
		id := rapid.SampledFrom(sorted(w.outstanding)).Draw(t, "outstanding")
		w.finish(id, rapid.SampledFrom([]model.ProgressKind{
			model.ProgressReturned, model.ProgressFinished, model.ProgressFailed, model.ProgressCancelled,
		}).Draw(t, "kind"))
	case step == 9 && len(w.waiting) > 0:
		id := rapid.SampledFrom(sorted(w.waiting)).Draw(t, "waiting")
		d := w.waiting[id]
		delete(w.waiting, id)
		w.pool.Withdraw(w.now, id)
		// A registration that arrives after the withdrawal is late.
		w.pool.Register(w.now, d)
	case step == 10:
		w.replace(t)
	case step == 11:
		w.instanceGone("i1")
	case step == 12:
		w.loseReports(rapid.SampledFrom([]model.InstanceID{"i0", "i1", "i2"}).Draw(t, "instance"))
	default:
		w.pool.Tick(w.now)
	}
}

func (w *world) instanceGone(id model.InstanceID) {
	gone := func(r model.RequestID) bool { return r.Instance == id }
	maps.DeleteFunc(w.waiting, func(r model.RequestID, _ model.Descriptor) bool { return gone(r) })
	for r := range w.outstanding {
		if gone(r) {
			delete(w.outstanding, r)
		}
	}
	w.pool.InstanceGone(w.now, id, 1)
}

// Guards against a higher tier shed while a lower one waits, a request granted twice, a
// window exceeded and a wrong count, also across the replacement of a dispatcher.
func TestTraceKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runTrace(t, newWorld(rapid.IntRange(1, 12).Draw(t, "bound"))) })
}

// Guards against two attempts with one key outstanding at once, and against a request that
// is counted for ever after a trace in which instances and dispatchers die: when every
// request has ended, nothing may be left.
func TestTraceWithKeysLeavesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 12).Draw(t, "bound"))
		w.keyed = true
		runTrace(t, w)
		for range 1000 {
			for _, id := range sorted(w.outstanding) {
				w.finish(id, model.ProgressFinished)
			}
			w.now = w.now.Add(time.Second)
			w.pool.Tick(w.now)
			w.take(t)
			if len(w.outstanding) == 0 && len(w.waiting) == 0 {
				break
			}
		}
		waiting, outstanding := w.pool.Counts()
		if waiting+outstanding+len(w.waiting)+len(w.outstanding) > 0 {
			t.Fatalf("pool counts %d waiting and %d outstanding after the end; %d and %d were not decided",
				waiting, outstanding, len(w.waiting), len(w.outstanding))
		}
	})
}

// Guards against decisions that depend on map order or on a shared random source.
func TestTraceIsDeterministic(t *testing.T) {
	run := func(seed int) []string {
		var log []string
		w := newWorld(8)
		rapid.Custom(func(t *rapid.T) int { runTrace(t, w); return 0 }).Example(seed)
		log = append(log, w.log...)
		return log
	}
	for seed := range 20 {
		if a, b := run(seed), run(seed); len(a) == 0 || !slices.Equal(a, b) {
			t.Fatalf("seed %d: two runs of one trace differ", seed)
		}
	}
}
