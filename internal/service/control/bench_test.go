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

// BenchmarkBareSync measures the sync of one small record on the disk that the other benchmarks
// use.
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

// BenchmarkPropose measures the time from the sending of a claim to its answer, with three voters
// on one disk.
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

// BenchmarkRecovery measures the start of a voter whose log holds a number of claims.
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
				ctx, cancel := cancelledContext()
				cancel()
				_ = g.voters["v0"].kernel.Stop(ctx)
				b.StartTimer()
			}
			clear(g.voters)
		})
	}
}

// singleVoterMembers is the membership in a prepared folder: the single voter v0.
var singleVoterMembers = consensus.Membership{Members: []consensus.MemberRecord{{Member: consensus.Member{Instance: "v0", Folder: 1}}}}

// cancelledContext returns a cancelled context, with which Stop does not wait for a leadership
// transfer. A single voter has no other voter to transfer to.
func cancelledContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx, cancel
}

// newFolder creates a data folder for the voter v0 and returns its empty log.
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

// prepareFolder creates a data folder for the single voter v0 whose log holds a number of claims.
func prepareFolder(b testing.TB, dir string, entries int) {
	b.Helper()
	l := newFolder(b, dir)
	batch := &consensus.Batch{
		Hard: &consensus.HardState{Group: 1, Term: 1}, Snapshot: &consensus.Snapshot{Index: 1, Term: 1, Members: singleVoterMembers}, Reset: true,
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

// BenchmarkHeartbeat reports the mean size of a heartbeat and its reply on an idle connection,
// without the frame around them. One reply in eight lists every live instance, so the mean grows
// with the number of instances.
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
