package members_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkMembership measures the cost of an unchanging membership per instance: bytes sent,
// processor time and heap. The whole fleet runs in one process, so the values of processor time
// and heap include the instance's share of the runtime.
func BenchmarkMembership(b *testing.B) {
	for _, size := range []struct{ instances, servers int }{{4, 15}, {8, 15}, {12, 15}, {24, 15}, {12, 60}, {12, 150}} {
		b.Run(fmt.Sprintf("instances=%d/servers=%d", size.instances, size.servers), func(b *testing.B) {
			all, bytes := startFleet(b, size.instances)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				announceServers(ctx, all, size.servers)
			}()
			defer func() { cancel(); <-done }()
			eventually(b, "complete views", func() bool {
				for _, m := range all {
					if !complete(m.view.Load(), size.instances, size.servers) {
						return false
					}
				}
				return true
			})
			time.Sleep(2 * time.Second)
			n := float64(size.instances)
			began, sent, used := time.Now(), bytes.Load(), processorTime(b)
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Second)
			}
			seconds := time.Since(began).Seconds()
			b.ReportMetric(float64(bytes.Load()-sent)/seconds/n, "B/s")
			b.ReportMetric(100*(processorTime(b)-used).Seconds()/seconds/n, "%core")
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/n/1024, "KiB-heap")
		})
	}
}
