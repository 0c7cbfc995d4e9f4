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

// Overhead is what the path through an instance adds to calling a backend server directly.
// Both sides are measured in one run and in one process.
type Overhead struct {
	Calls int `json:"calls"`
	// Latencies are in microseconds, with one caller at a time.
	DirectP50, DirectP99   int64
	ThroughP50, ThroughP99 int64
	// Rates are in calls per second with 64 callers.
	DirectRate, ThroughRate float64
	// CPUs are microseconds of processor time per call, with callers and stand-in included.
	DirectCPU, ThroughCPU float64
}

const (
	overheadCallers = 64
	sequentialCalls = 2000
	parallelCalls   = 20_000
)

// MeasureOverhead compares calls to a plain service directly and through an instance.
func MeasureOverhead(ctx context.Context, direct, through string) (Overhead, error) {
	o := Overhead{Calls: parallelCalls}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadCallers}}
	defer client.CloseIdleConnections()
	directURL := "http://" + direct + "/stock"
	throughURL := "http://" + through + "/v1/services/booking/stock"
	for _, side := range []struct {
		url      string
		p50, p99 *int64
		rate     *float64
		cpu      *float64
	}{{directURL, &o.DirectP50, &o.DirectP99, &o.DirectRate, &o.DirectCPU}, {throughURL, &o.ThroughP50, &o.ThroughP99, &o.ThroughRate, &o.ThroughCPU}} {
		latencies := hdrhistogram.New(1, maxLatencyMicros, significantDigit)
		for range sequentialCalls {
			began := time.Now()
			if err := get(ctx, client, side.url); err != nil {
				return o, err
			}
			_ = latencies.RecordValue(time.Since(began).Microseconds())
		}
		*side.p50, *side.p99 = latencies.ValueAtQuantile(50), latencies.ValueAtQuantile(99)
		var err error
		if *side.rate, *side.cpu, err = parallel(ctx, client, side.url); err != nil {
			return o, err
		}
	}
	return o, nil
}

// parallel returns the rate and the processor time per call of many callers at once.
func parallel(ctx context.Context, client *http.Client, url string) (rate, cpu float64, err error) {
	var left atomic.Int64
	left.Store(parallelCalls)
	failures := make(chan error, overheadCallers)
	var callers sync.WaitGroup
	cpuBefore, began := cpuTime(), time.Now()
	for range overheadCallers {
		callers.Go(func() {
			for left.Add(-1) >= 0 {
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

// Ready waits until a URL is answered with success, for at most ten seconds.
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

// unexpectedStatus reports a call of a measurement that was refused.
type unexpectedStatus struct{ status int }

func (e *unexpectedStatus) Error() string {
	return fmt.Sprintf("a measured call was answered with status %d", e.status)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// OpenRequests keeps a number of streamed chats open at an instance and returns the heap
// that they use in the whole process, callers and stand-in included, in bytes.
func OpenRequests(ctx context.Context, through string, n int, body []byte) (int64, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	before := heap()
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
	used := heap() - before
	return used, func() {
		cancel()
		open.Wait()
		client.CloseIdleConnections()
	}, nil
}

// settleTime lets all requests reach their place before the heap is measured.
const settleTime = 3 * time.Second

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
