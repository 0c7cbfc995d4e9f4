package control_test

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// pauseProber measures the pauses of a voter's control duty. It sends heartbeats, which the duty
// answers at once whether the voter leads or not, and records the longest time to an answer.
type pauseProber struct {
	peers   *peers
	answers chan uint64
	longest atomic.Int64
}

func (g *group) newPauseProber() *pauseProber {
	p := &pauseProber{peers: g.hub.join("probe"), answers: make(chan uint64, 16)}
	p.peers.Handle(port.ControlClientName, nil, func(m port.PeerMessage) error {
		if r, ok := m.Body.(port.HeartbeatReply); ok {
			p.answers <- r.Seq
		}
		return nil
	})
	return p
}

// run sends one probe after another, a millisecond apart, until done is closed.
func (p *pauseProber) run(target model.InstanceID, done chan struct{}) {
	for seq := uint64(1); ; seq++ {
		began := time.Now()
		_ = p.peers.Send(target, port.ControlName, port.Heartbeat{Seq: seq, Instance: "probe", Incarnation: 1})
		select {
		case <-p.answers:
		case <-done:
			return
		}
		p.longest.Store(max(p.longest.Load(), int64(time.Since(began))))
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkInstallAtLimits measures the longest pause of the control duty of a new voter while it
// receives, stores and installs a snapshot of a state at the default limits. Ticks are delayed by
// as much.
func BenchmarkInstallAtLimits(b *testing.B) {
	data := fullSnapshot(b, state.DefaultLimits())
	var longest int64
	for b.Loop() {
		g := newGroup(b, 1)
		prepareSnapshot(b, filepath.Join(g.dir, "v0"), data)
		for _, id := range []model.InstanceID{"v0", "v1"} {
			if err := g.start(id); err != nil {
				b.Fatal(err)
			}
		}
		c, p := g.client(), g.newPauseProber()
		c.do(state.Lookup{Key: claim(1).Key})
		done := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { p.run("v1", done) })
		if r := c.do(add("v1")); r.Err != nil {
			b.Fatal(r.Err)
		}
		g.eventually("the new voter has caught up", g.hasVoters("v0", "v1"))
		// The last answers cover the end of the installation.
		c.do(claim(-1))
		time.Sleep(500 * time.Millisecond)
		close(done)
		wg.Wait()
		longest = max(longest, p.longest.Load())
		for _, v := range g.voters {
			ctx, cancel := cancelledContext()
			_ = v.kernel.Stop(ctx)
			cancel()
		}
		clear(g.voters)
	}
	b.ReportMetric(float64(longest)/1e6, "longest-pause-ms")
}

// BenchmarkClaimsDuringSnapshots measures the slowest of continuous claims, each of which needs a
// sync, while a voter whose state is at the default limits replaces its log with snapshots.
func BenchmarkClaimsDuringSnapshots(b *testing.B) {
	g := newGroup(b, 1)
	prepareSnapshot(b, filepath.Join(g.dir, "v0"), fullSnapshot(b, state.DefaultLimits()))
	if err := g.start("v0"); err != nil {
		b.Fatal(err)
	}
	c, p := g.client(), g.newPauseProber()
	c.do(state.Lookup{Key: claim(1).Key})
	done := make(chan struct{})
	var longest atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() { p.run("v0", done) })
	wg.Go(func() { longestClaim(c, &longest, done) })
	for b.Loop() {
		snapshotOnce(b, g, c)
	}
	close(done)
	wg.Wait()
	b.ReportMetric(float64(longest.Load())/1e6, "longest-claim-ms")
	b.ReportMetric(float64(p.longest.Load())/1e6, "longest-pause-ms")
	ctx, cancel := cancelledContext()
	defer cancel()
	_ = g.voters["v0"].kernel.Stop(ctx)
	clear(g.voters)
}

func longestClaim(c *client, longest *atomic.Int64, done chan struct{}) {
	for i := 0; ; i++ {
		began := time.Now()
		c.do(state.Claim{Key: model.HashKey("longest", fmt.Sprint(i%100)), Request: claim(1).Request})
		longest.Store(max(longest.Load(), int64(time.Since(began))))
		select {
		case <-done:
			return
		default:
		}
	}
}
