package control_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/control"
	"briaryard/internal/storage"
	"briaryard/internal/wire/consensuswire"
)

func reportLatencies(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(len(took))/b.Elapsed().Seconds(), "per-s")
}

// BenchmarkBareSync is the cost of one sync of a small frame on the disk that the other
// benchmarks use.
func BenchmarkBareSync(b *testing.B) {
	l, err := storage.Open(storage.OS{}, b.TempDir(), func([]byte) error { return nil })
	if err != nil {
		b.Fatal(err)
	}
	payload := make([]byte, 200)
	var took []time.Duration
	for b.Loop() {
		began := time.Now()
		if err := l.Append(payload); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(began))
	}
	reportLatencies(b, took)
	_ = l.Close()
}

// BenchmarkPropose measures claims from the client's send to its answer with three voters on
// one disk.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			g := newGroup(b, 3)
			g.startAll()
			c := g.client()
			c.do(claim(0))
			took := make([][]time.Duration, proposers)
			b.ResetTimer()
			var wg sync.WaitGroup
			for p := range proposers {
				wg.Go(func() {
					for i := p; i < b.N; i += proposers {
						began := time.Now()
						c.do(claim(i + 1))
						took[p] = append(took[p], time.Since(began))
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			reportLatencies(b, slices.Concat(took...))
		})
	}
}

// BenchmarkRecovery measures the opening of a folder whose log holds a number of claims.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			g := newGroup(b, 1)
			prepareFolder(b, filepath.Join(g.dir, "v0"), entries)
			for b.Loop() {
				if err := g.start("v0"); err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				ctx, cancel := stopped()
				cancel()
				_ = g.voters["v0"].kernel.Stop(ctx)
				b.StartTimer()
			}
			clear(g.voters)
		})
	}
}

// loneMembers is the membership of the single voter of a prepared folder.
var loneMembers = consensus.Membership{Members: []consensus.MemberRecord{{Member: consensus.Member{Instance: "v0", Folder: 1}}}}

// stopped ends the wait for a handover, which a lone voter cannot do.
func stopped() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx, cancel
}

// newFolder returns the empty log of a new folder of the voter v0.
func newFolder(tb testing.TB, dir string) *storage.Log {
	tb.Helper()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		tb.Fatal(err)
	}
	id, err := consensuswire.EncodeIdentity(consensuswire.Identity{Instance: "v0", Folder: 1})
	if err != nil {
		tb.Fatal(err)
	}
	if err := storage.WriteAtomic(storage.OS{}, filepath.Join(dir, "identity"), id); err != nil {
		tb.Fatal(err)
	}
	l, err := storage.Open(storage.OS{}, dir, func([]byte) error { return nil })
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

func prepareFolder(b testing.TB, dir string, entries int) {
	b.Helper()
	l := newFolder(b, dir)
	batch := &consensus.Batch{
		Hard: &consensus.HardState{Group: 1, Term: 1}, Snapshot: &consensus.Snapshot{Index: 1, Term: 1, Members: loneMembers}, Reset: true,
	}
	for i := range entries {
		data, err := control.WireCodecs{}.EncodeCommand(state.Claim{Key: model.HashKey("team", fmt.Sprint(i))})
		if err != nil {
			b.Fatal(err)
		}
		batch.Entries = append(batch.Entries, consensus.Entry{Index: uint64(i + 2), Term: 1, Data: data})
		if len(batch.Entries) == 10 || i == entries-1 {
			payload, err := consensuswire.EncodeBatch(batch)
			if err != nil {
				b.Fatal(err)
			}
			if err := l.Append(payload); err != nil {
				b.Fatal(err)
			}
			batch = &consensus.Batch{}
		}
	}
	if err := l.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkHeartbeat measures the heartbeat exchange of an instance on the wire at rest: the
// mean bytes of one request and its reply, without the frame around them. One reply in eight
// names every live instance, so the mean grows with the fleet.
func BenchmarkHeartbeat(b *testing.B) {
	codec := control.NewCodec()
	for _, n := range []int{4, 12, 24, 380} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			request := port.Heartbeat{Seq: 1 << 20, Incarnation: 1 << 60, Revision: 1000}
			reply := port.HeartbeatReply{Seq: 1 << 20, Leader: "instance-1", Revision: 1000}
			for k := range n {
				id := model.InstanceID(fmt.Sprintf("instance-%d", k+1))
				reply.Confirmed = append(reply.Confirmed, port.Confirmation{Instance: id, Revision: 1000})
				if k < 5 {
					reply.Voters = append(reply.Voters, id)
				}
				if k < 4 {
					reply.Leases = append(reply.Leases, state.Lease{Name: fmt.Sprintf("dispatcher/pool-%d", k), Holder: id, Incarnation: 1 << 60, Epoch: 100})
				}
			}
			size := 0
			for b.Loop() {
				up, err := codec.Encode(request)
				if err != nil {
					b.Fatal(err)
				}
				down, err := codec.Encode(reply)
				if err != nil {
					b.Fatal(err)
				}
				confirmed := reply.Confirmed
				reply.Confirmed = nil
				short, err := codec.Encode(reply)
				if err != nil {
					b.Fatal(err)
				}
				reply.Confirmed = confirmed
				size = len(up) + (7*len(short)+len(down))/8
			}
			b.ReportMetric(float64(size), "B/exchange")
		})
	}
}
