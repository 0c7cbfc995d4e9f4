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

// runTrace performs random steps and checks every decision and the counts after each.
func runTrace(t *rapid.T, m *poolModel) {
	steps := rapid.IntRange(20, 200).Draw(t, "steps")
	for range steps {
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
		m.step(t, rapid.IntRange(0, 13).Draw(t, "step"))
		m.checkDecisions(t)
		m.checkCounts(t)
	}
}

func (m *poolModel) step(t *rapid.T, step int) {
	switch {
	case step <= 5:
		tier := model.Tier(rapid.IntRange(0, model.TierCount-1).Draw(t, "tier"))
		team := rapid.SampledFrom([]model.TeamID{"a", "b"}).Draw(t, "team")
		prompt := rapid.SampledFrom([]int{1, 50, 500, 5000}).Draw(t, "prompt")
		d := m.register(tier, team, prompt, time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second)
		m.checkDecisions(t)
		m.pool.Register(m.now, d)
	case step <= 8 && len(m.outstanding) > 0:
		id := rapid.SampledFrom(sorted(m.outstanding)).Draw(t, "outstanding")
		m.finish(id, rapid.SampledFrom([]model.ProgressKind{
			model.ProgressReturned, model.ProgressFinished, model.ProgressFailed, model.ProgressCancelled,
		}).Draw(t, "kind"))
	case step == 9 && len(m.waiting) > 0:
		id := rapid.SampledFrom(sorted(m.waiting)).Draw(t, "waiting")
		d := m.waiting[id]
		delete(m.waiting, id)
		m.pool.Withdraw(m.now, id)
		// A registration that arrives after the withdrawal is late.
		m.pool.Register(m.now, d)
	case step == 10:
		m.replaceDispatcher(t)
	case step == 11:
		m.instanceGone("i1")
	case step == 12:
		m.loseMessages(rapid.SampledFrom([]model.InstanceID{"i0", "i1", "i2"}).Draw(t, "instance"))
	default:
		m.pool.Tick(m.now)
	}
}

func (m *poolModel) instanceGone(id model.InstanceID) {
	gone := func(r model.RequestID) bool { return r.Instance == id }
	maps.DeleteFunc(m.waiting, func(r model.RequestID, _ model.Descriptor) bool { return gone(r) })
	for r := range m.outstanding {
		if gone(r) {
			delete(m.outstanding, r)
		}
	}
	m.pool.InstanceGone(m.now, id, 1)
}

// Guards against shedding a request while one of a lower tier waits, a request granted twice,
// an exceeded window and wrong counts, also after the dispatcher is replaced.
func TestTraceKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runTrace(t, newPoolModel(rapid.IntRange(1, 12).Draw(t, "bound"))) })
}

// Guards against two outstanding attempts with one key, and against requests that are counted
// forever after instances and dispatchers have failed: when every request has ended, nothing
// may be left.
func TestTraceWithKeysLeavesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolModel(rapid.IntRange(1, 12).Draw(t, "bound"))
		m.keyed = true
		runTrace(t, m)
		for range 1000 {
			for _, id := range sorted(m.outstanding) {
				m.finish(id, model.ProgressFinished)
			}
			m.now = m.now.Add(time.Second)
			m.pool.Tick(m.now)
			m.checkDecisions(t)
			if len(m.outstanding) == 0 && len(m.waiting) == 0 {
				break
			}
		}
		waiting, outstanding := m.pool.Counts()
		if waiting+outstanding+len(m.waiting)+len(m.outstanding) > 0 {
			t.Fatalf("pool counts %d waiting and %d outstanding after the end; %d and %d were not decided",
				waiting, outstanding, len(m.waiting), len(m.outstanding))
		}
	})
}

// Guards against decisions that depend on map order or on a shared random source.
func TestTraceIsDeterministic(t *testing.T) {
	run := func(seed int) []string {
		var log []string
		m := newPoolModel(8)
		rapid.Custom(func(t *rapid.T) int { runTrace(t, m); return 0 }).Example(seed)
		log = append(log, m.log...)
		return log
	}
	for seed := range 20 {
		if a, b := run(seed), run(seed); len(a) == 0 || !slices.Equal(a, b) {
			t.Fatalf("seed %d: two runs of one trace differ", seed)
		}
	}
}
