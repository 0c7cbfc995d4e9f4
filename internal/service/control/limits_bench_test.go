package control_test

import (
	"fmt"
	"path/filepath"
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/service/control"
	"briaryard/internal/storage"
	"briaryard/internal/wire/consensuswire"
)

// fullSnapshot returns the snapshot of a state at its limits: half of the claims are held, and the
// other half are finished with answers of the maximum total size.
func fullSnapshot(tb testing.TB, limits state.Limits) []byte {
	tb.Helper()
	m := state.NewMachine(limits)
	at := time.Now()
	apply := func(c state.Command) { m.Apply(m.Applied()+1, at, c) }
	apply(state.ApplyConfig{ChangeID: "c1", Number: 1, Operator: "ana", Content: make([]byte, 200<<10)})
	answer := make([]byte, limits.TotalAnswerBytes/(limits.Claims/2))
	for i := range limits.Claims {
		c := claim(-1 - i)
		c.Request.Instance = model.InstanceID(fmt.Sprintf("instance-%d", i%12))
		apply(c)
		if i%2 == 0 {
			apply(state.Finish{Key: c.Key, Request: c.Request, Answer: &model.Answer{Status: 200, ContentType: "application/json", Body: append([]byte(nil), answer...)}})
		}
	}
	for i := range limits.Barriers {
		apply(state.Refuse{Key: model.HashKey("barrier", fmt.Sprint(i))})
	}
	data, err := control.WireCodecs{}.EncodeSnapshot(m.View())
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// prepareSnapshot creates a data folder for the single voter v0 that holds a snapshot.
func prepareSnapshot(tb testing.TB, dir string, data []byte) {
	tb.Helper()
	l := newFolder(tb, dir)
	if err := storage.WriteSnapshot(storage.OS{}, dir, 10, data); err != nil {
		tb.Fatal(err)
	}
	payload, err := consensuswire.EncodeBatch(&consensus.Batch{
		Hard: &consensus.HardState{Group: 1, Term: 1}, Reset: true,
		Snapshot: &consensus.Snapshot{Index: 10, Term: 1, Members: singleVoterMembers, Data: data},
	})
	if err == nil {
		err = l.Append(payload)
	}
	if err == nil {
		err = l.Close()
	}
	if err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkSnapshotAtLimits measures a voter whose state is at the default limits while it
// replaces its log with snapshots. It reports the slowest of continuous reads, which bounds the
// longest pause of the control duty, and the largest heap.
func BenchmarkSnapshotAtLimits(b *testing.B) {
	g := newGroup(b, 1)
	prepareSnapshot(b, filepath.Join(g.dir, "v0"), fullSnapshot(b, state.DefaultLimits()))
	runtime.GC()
	var longest, heap atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { largestHeap(&heap, done) })
	if err := g.start("v0"); err != nil {
		b.Fatal(err)
	}
	c := g.client()
	c.do(state.Lookup{Key: claim(1).Key})
	wg.Go(func() { longestRead(c, &longest, done) })
	b.ResetTimer()
	for b.Loop() {
		snapshotOnce(b, g, c)
	}
	close(done)
	wg.Wait()
	b.ReportMetric(float64(longest.Load())/1e6, "longest-read-ms")
	b.ReportMetric(float64(heap.Load())/1e6, "heap-MB")
	ctx, cancel := cancelledContext()
	defer cancel()
	_ = g.voters["v0"].kernel.Stop(ctx)
	clear(g.voters)
}

// longestRead runs one read after another until done is closed and records the longest.
func longestRead(c *client, longest *atomic.Int64, done chan struct{}) {
	for {
		began := time.Now()
		c.do(state.Lookup{Key: claim(1).Key})
		longest.Store(max(longest.Load(), int64(time.Since(began))))
		select {
		case <-done:
			return
		default:
		}
	}
}

// largestHeap samples the heap size, including garbage that was not collected yet, and records the
// largest.
func largestHeap(heap *atomic.Int64, done chan struct{}) {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/unused:bytes"}}
	for {
		metrics.Read(sample)
		heap.Store(max(heap.Load(), int64(sample[0].Value.Uint64()+sample[1].Value.Uint64())))
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// snapshotOnce sends claims until another snapshot has replaced the voter's.
func snapshotOnce(b *testing.B, g *group, c *client) {
	replaced := func(before string) (string, bool) {
		names, _ := filepath.Glob(filepath.Join(g.dir, "v0", "snapshot-*"))
		return fmt.Sprint(names), len(names) == 1 && names[0] != before && filepath.Ext(names[0]) == ""
	}
	names, _ := filepath.Glob(filepath.Join(g.dir, "v0", "snapshot-????????????????"))
	before := names[0]
	var finished atomic.Bool
	var wg sync.WaitGroup
	for p := range 64 {
		wg.Go(func() {
			for i := 0; !finished.Load(); i++ {
				c.do(state.Claim{Key: claim(-1 - p*1000 - i%1000).Key, Request: claim(1).Request})
			}
		})
	}
	for end := time.Now().Add(waitLimit); ; time.Sleep(time.Millisecond) {
		names, ok := replaced(before)
		if ok {
			break
		}
		if time.Now().After(end) {
			b.Errorf("the files are %s", names)
			break
		}
	}
	finished.Store(true)
	wg.Wait()
}

// BenchmarkViewAtLimits measures the view, for which the control duty waits when it makes a
// snapshot, and for comparison a view with its encoding, for which it would wait without views.
func BenchmarkViewAtLimits(b *testing.B) {
	m, err := control.WireCodecs{}.DecodeSnapshot(fullSnapshot(b, state.DefaultLimits()), state.DefaultLimits())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("view", func(b *testing.B) {
		for b.Loop() {
			m.View()
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := (control.WireCodecs{}).EncodeSnapshot(m.View()); err != nil {
				b.Fatal(err)
			}
		}
	})
}
