package dispatch_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/model"
)

// sizes are today's deployments, ten times their size, a size in between and the design size.
var sizes = []struct{ servers, teams, waiting int }{
	{15, 5, 500}, {150, 50, 5_000}, {200, 400, 20_000}, {600, 1300, 50_000},
}

// benchPool is a pool with all windows full and a number of requests waiting.
type benchPool struct {
	pool        *dispatch.Pool
	now         time.Time
	seq         uint64
	teams       int
	outstanding []model.Grant
	// decisions counts the decisions of the pool.
	decisions int
}

func newBenchPool(servers, teams, waiting int) *benchPool {
	l := &benchPool{pool: dispatch.NewPool("m", 1, nil), now: epoch, teams: teams}
	c := &model.Config{
		Teams:        make(map[model.TeamID]model.Team),
		Pools:        map[model.PoolID]model.Pool{"m": {ID: "m", MaxWaiting: waiting}},
		MinimumShare: [model.TierCount]float64{0, 0.05, 0.05, 0.05},
	}
	for i := range teams {
		id := model.TeamID(fmt.Sprint("t", i))
		c.Teams[id] = model.Team{ID: id, Weight: float64(1 + i%4)}
	}
	l.pool.SetConfig(l.now, c)
	var list []model.BackendServer
	for i := range servers {
		list = append(list, model.BackendServer{
			ID: model.BackendServerID(fmt.Sprint("s", i)), Incarnation: 1, Slots: 16,
			Generation: fmt.Sprint("g", i%3), Domain: model.FailureDomain(fmt.Sprint("d", i%5)),
		})
	}
	l.pool.SetServers(l.now, list)
	for range waiting + servers*16 {
		l.register()
	}
	return l
}

func (l *benchPool) register() {
	l.seq++
	d := model.Descriptor{
		ID:   model.RequestID{Instance: model.InstanceID(fmt.Sprint("i", l.seq%380)), Incarnation: 1, Seq: l.seq},
		Pool: "m", Team: model.TeamID(fmt.Sprint("t", l.seq%uint64(l.teams))), Tier: model.Tier(l.seq % 4),
		Arrived: l.now, Deadline: l.now.Add(time.Hour + time.Duration(l.seq*7919%1000)*time.Second),
		PromptTokens: int(10 + l.seq*31%4000), OutputTokens: int(10 + l.seq*17%400),
	}
	for i := range 6 {
		d.Prefix = append(d.Prefix, uint64(i+1)*1_000_003+l.seq%50)
	}
	l.pool.Register(l.now, d)
	l.take()
}

func (l *benchPool) take() {
	for _, d := range l.pool.Take() {
		l.decisions++
		if d.Kind == dispatch.Granted {
			l.outstanding = append(l.outstanding, d.Grant)
		}
	}
}

func (l *benchPool) finish() {
	i := int(l.seq*2654435761) % len(l.outstanding)
	g := l.outstanding[i]
	l.outstanding[i] = l.outstanding[len(l.outstanding)-1]
	l.outstanding = l.outstanding[:len(l.outstanding)-1]
	l.pool.Report(l.now, model.Progress{
		Request: g.Request, Server: g.Server, Epoch: g.Epoch, Kind: model.ProgressFinished,
		FirstToken: 200 * time.Millisecond, PerToken: 20 * time.Millisecond, Tokens: 100,
	})
	l.take()
}

// BenchmarkDecision measures one answer with the grant that follows, and one registration.
func BenchmarkDecision(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("servers=%d/teams=%d/waiting=%d", size.servers, size.teams, size.waiting), func(b *testing.B) {
			l := newBenchPool(size.servers, size.teams, size.waiting)
			var steps, each []time.Duration
			b.ReportAllocs()
			for b.Loop() {
				l.now = l.now.Add(time.Millisecond)
				for _, step := range []func(){l.finish, l.register} {
					before, start := l.decisions, time.Now()
					step()
					took := time.Since(start)
					steps = append(steps, took)
					// One answer may widen a window and so lead to several grants.
					each = append(each, took/time.Duration(max(l.decisions-before, 1)))
				}
			}
			slices.Sort(steps)
			slices.Sort(each)
			b.ReportMetric(float64(steps[len(steps)*99/100].Nanoseconds()), "p99-ns/message")
			b.ReportMetric(float64(each[len(each)/2].Nanoseconds()), "p50-ns/decision")
			b.ReportMetric(float64(each[len(each)*99/100].Nanoseconds()), "p99-ns/decision")
			b.ReportMetric(float64(each[len(each)-1].Nanoseconds()), "max-ns/decision")
		})
	}
}

// BenchmarkWaitingMemory measures the heap for each waiting request, descriptor included.
func BenchmarkWaitingMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("waiting=%d", size.waiting), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := newBenchPool(1, size.teams, size.waiting)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size.waiting), "B/waiting")
			b.ReportMetric(float64(after.HeapObjects-before.HeapObjects)/float64(size.waiting), "objects/waiting")
		})
	}
}
