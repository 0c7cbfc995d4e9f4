package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Overhead compares calls through an instance with direct calls to a backend server. Both are
// measured in one run and in one process.
type Overhead struct {
	Calls int `json:"calls"`
	// Latencies are in microseconds, measured with one sequential caller.
	DirectP50, DirectP99   int64
	ThroughP50, ThroughP99 int64
	// Rates are in calls per second with 64 concurrent callers.
	DirectRate, ThroughRate float64
	// CPU times are in microseconds per call and include the callers and the stand-in.
	DirectCPU, ThroughCPU float64
}

const (
	parallelCallers = 64
	sequentialCalls = 2000
	parallelCalls   = 20_000
)

// MeasureOverhead measures calls to the stand-in booking service: directly at the address
// direct, and through the instance with the caller address through.
func MeasureOverhead(ctx context.Context, direct, through string) (Overhead, error) {
	o := Overhead{Calls: parallelCalls}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: parallelCallers}}
	defer client.CloseIdleConnections()
	directURL := "http://" + direct + "/stock"
	throughURL := "http://" + through + "/v1/services/booking/stock"
	for _, side := range []struct {
		url      string
		p50, p99 *int64
		rate     *float64
		cpu      *float64
	}{{directURL, &o.DirectP50, &o.DirectP99, &o.DirectRate, &o.DirectCPU}, {throughURL, &o.ThroughP50, &o.ThroughP99, &o.ThroughRate, &o.ThroughCPU}} {
		latencies := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
		for range sequentialCalls {
			began := time.Now()
			if err := get(ctx, client, side.url); err != nil {
				return o, err
			}
			_ = latencies.RecordValue(time.Since(began).Microseconds())
		}
		*side.p50, *side.p99 = latencies.ValueAtQuantile(50), latencies.ValueAtQuantile(99)
		var err error
		if *side.rate, *side.cpu, err = measureParallel(ctx, client, side.url); err != nil {
			return o, err
		}
	}
	return o, nil
}

// measureParallel returns the rate in calls per second and the CPU time per call in microseconds
// for concurrent callers.
func measureParallel(ctx context.Context, client *http.Client, url string) (rate, cpu float64, err error) {
	var remaining atomic.Int64
	remaining.Store(parallelCalls)
	failures := make(chan error, parallelCallers)
	var callers sync.WaitGroup
	cpuBefore, began := cpuTime(), time.Now()
	for range parallelCallers {
		callers.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := get(ctx, client, url); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	callers.Wait()
	took, used := time.Since(began), cpuTime()-cpuBefore
	select {
	case err = <-failures:
	default:
	}
	return parallelCalls / took.Seconds(), float64(used.Microseconds()) / parallelCalls, err
}

// Ready waits until a GET of the URL is answered with status 200. It makes 100 attempts at
// intervals of 100 ms, ten seconds if they fail at once, and returns the last error.
func Ready(ctx context.Context, url string) error {
	const tries, pause = 100, 100 * time.Millisecond
	client := &http.Client{Timeout: time.Second}
	var err error
	for range tries {
		if err = get(ctx, client, url); err == nil {
			return nil
		}
		if !waitUntil(ctx, time.Now().Add(pause)) {
			return ctx.Err()
		}
	}
	return err
}

// get returns nil if a GET of the URL is answered with status 200.
func get(ctx context.Context, client *http.Client, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &unexpectedStatus{status: response.StatusCode}
	}
	return nil
}

// unexpectedStatus reports a measured call that was not answered with status 200.
type unexpectedStatus struct{ status int }

func (e *unexpectedStatus) Error() string {
	return fmt.Sprintf("a measured call was answered with status %d", e.status)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// OpenRequests opens n streamed chats at an instance and returns the heap and stack memory, in
// bytes, that the whole process uses for them, callers and stand-in included. The returned
// function closes the chats.
func OpenRequests(ctx context.Context, through string, n int, body []byte) (int64, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	before := memoryInUse()
	client := &http.Client{Transport: &http.Transport{}}
	var open sync.WaitGroup
	for range n {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+through+"/v1/chat/completions", bytes.NewReader(body))
		if err != nil {
			cancel()
			return 0, nil, err
		}
		open.Go(func() {
			if response, err := client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	if !waitUntil(ctx, time.Now().Add(settleTime)) {
		cancel()
		return 0, nil, ctx.Err()
	}
	used := memoryInUse() - before
	return used, func() {
		cancel()
		open.Wait()
		client.CloseIdleConnections()
	}, nil
}

// settleTime is the time for all requests to reach the queue or the engine before memory is
// measured.
const settleTime = 3 * time.Second

// memoryInUse returns the heap and stack memory in use after garbage collection, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
