package kernel

import (
	"context"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"briaryard/internal/ring"
)

// DutyInfo describes a running duty for operators.
type DutyInfo struct {
	Name         string       `json:"name"`
	LastActivity time.Time    `json:"last_activity"`
	Rings        []ring.Stats `json:"rings,omitempty"`
}

// StatsSource is a ring as seen by the list of duties.
type StatsSource interface{ Stats() ring.Stats }

// Duty is a named goroutine run by a Host.
type Duty struct {
	name   string
	rings  []StatsSource
	active atomic.Int64
	done   chan struct{}
	cancel context.CancelFunc
}

// Touch records activity for the list of duties.
func (d *Duty) Touch(now time.Time) { d.active.Store(now.UnixNano()) }

// End asks the duty to finish and waits until it has.
func (d *Duty) End() {
	d.cancel()
	<-d.done
}

// Host starts, supervises and ends duties.
type Host struct {
	ctx     context.Context
	cancel  context.CancelFunc
	onPanic func(error)

	mu     sync.Mutex
	duties map[*Duty]struct{}
	wg     sync.WaitGroup
}

func newHost(onPanic func(error)) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	return &Host{ctx: ctx, cancel: cancel, onPanic: onPanic, duties: make(map[*Duty]struct{})}
}

// Go starts a duty. Its context ends with Duty.End or when the kernel has stopped all
// services. The rings are shown in the list of duties.
func (h *Host) Go(name string, run func(ctx context.Context, d *Duty), rings ...StatsSource) *Duty {
	ctx, cancel := context.WithCancel(h.ctx)
	d := &Duty{name: name, rings: rings, done: make(chan struct{}), cancel: cancel}
	d.Touch(time.Now())
	h.mu.Lock()
	h.duties[d] = struct{}{}
	h.mu.Unlock()
	h.wg.Add(1)
	go h.supervise(ctx, d, run)
	return d
}

func (h *Host) supervise(ctx context.Context, d *Duty, run func(context.Context, *Duty)) {
	defer h.wg.Done()
	defer close(d.done)
	defer d.cancel()
	defer func() {
		h.mu.Lock()
		delete(h.duties, d)
		h.mu.Unlock()
		if v := recover(); v != nil {
			h.onPanic(&DutyPanicError{Duty: d.name, Value: v, Stack: string(debug.Stack())})
		}
	}()
	run(ctx, d)
}

// Duties lists the running duties by name.
func (h *Host) Duties() []DutyInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	infos := make([]DutyInfo, 0, len(h.duties))
	for d := range h.duties {
		info := DutyInfo{Name: d.name, LastActivity: time.Unix(0, d.active.Load())}
		for _, r := range d.rings {
			info.Rings = append(info.Rings, r.Stats())
		}
		infos = append(infos, info)
	}
	slices.SortFunc(infos, func(a, b DutyInfo) int { return strings.Compare(a.Name, b.Name) })
	return infos
}

func (h *Host) end() {
	h.cancel()
	h.wg.Wait()
}

// Loop is the body of a duty that takes messages from one ring and, if Tick is positive,
// also acts at that interval. OnTick gets the time at which it is called: the ticker's own time
// is older by as long as the process or the duty was stopped, and a lease could seem to last.
type Loop[T any] struct {
	Ring   *ring.Ring[T]
	Tick   time.Duration
	Handle func(now time.Time, message T)
	OnTick func(now time.Time)
	// Quiet, if set, reports that no time limit of the resolution of Tick is running. Ticks
	// then come at QuietTick. A wakeup of an idle process costs about 25 us of processor time,
	// so ticks are most of what an idle duty costs.
	Quiet     func() bool
	QuietTick time.Duration
	// Now is the clock that Handle and OnTick get; nil means time.Now. A duty that counts leases
	// by another clock sets it.
	Now func() time.Time
}

// Run handles messages until the context ends or the ring is closed and empty.
func (l Loop[T]) Run(ctx context.Context, d *Duty) {
	t := l.newTicks()
	defer t.stop()
	for {
		// A tick is taken even when the ring never runs empty, so that timeouts still
		// fire under load.
		select {
		case <-t.c:
			l.tick(l.now(), &t)
		default:
		}
		if m, ok := l.Ring.TryGet(); ok {
			d.Touch(time.Now())
			l.Handle(l.now(), m)
			if ctx.Err() == nil {
				t.wake(l)
				continue
			}
			return
		}
		select {
		case <-l.Ring.Ready():
		case <-t.c:
			l.tick(l.now(), &t)
		case <-l.Ring.Done():
			if l.Ring.Stats().Depth == 0 {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l Loop[T]) now() time.Time {
	if l.Now == nil {
		return time.Now()
	}
	return l.Now()
}

func (l Loop[T]) quiet() bool { return l.Quiet != nil && l.Quiet() }

func (l Loop[T]) tick(now time.Time, t *ticks[T]) {
	l.OnTick(now)
	t.settle(l)
}

// ticks is the ticker of a loop. It slows down only after a tick, so that a duty which is
// quiet between any two messages still has its ticks.
type ticks[T any] struct {
	ticker *time.Ticker
	c      <-chan time.Time
	slow   bool
}

func (l Loop[T]) newTicks() ticks[T] {
	if l.Tick <= 0 {
		return ticks[T]{}
	}
	ticker := time.NewTicker(l.Tick)
	return ticks[T]{ticker: ticker, c: ticker.C}
}

func (t *ticks[T]) stop() {
	if t.ticker != nil {
		t.ticker.Stop()
	}
}

// wake returns to the usual interval when a message has ended the quiet.
func (t *ticks[T]) wake(l Loop[T]) {
	if t.slow && !l.quiet() {
		t.slow = false
		t.ticker.Reset(l.Tick)
	}
}

// settle chooses the interval after a tick.
func (t *ticks[T]) settle(l Loop[T]) {
	switch slow := l.quiet(); {
	case slow == t.slow:
	case slow:
		t.slow = true
		t.ticker.Reset(l.QuietTick)
	default:
		t.slow = false
		t.ticker.Reset(l.Tick)
	}
}
