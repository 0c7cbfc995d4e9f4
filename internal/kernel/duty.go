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

// DutyInfo describes a running duty in the operator API.
type DutyInfo struct {
	Name         string       `json:"name"`
	LastActivity time.Time    `json:"last_activity"`
	Rings        []ring.Stats `json:"rings,omitempty"`
}

// StatsSource provides the counters of a ring for the list of duties.
type StatsSource interface{ Stats() ring.Stats }

// Duty is a named goroutine run by a Host.
type Duty struct {
	name         string
	rings        []StatsSource
	lastActivity atomic.Int64
	done         chan struct{}
	cancel       context.CancelFunc
}

// Touch records the time of the duty's last activity, which the list of duties shows.
func (d *Duty) Touch(now time.Time) { d.lastActivity.Store(now.UnixNano()) }

// Stop cancels the duty's context and waits until the duty has returned.
func (d *Duty) Stop() {
	d.cancel()
	<-d.done
}

// Host starts duties, recovers their panics and stops them.
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

// Go starts a duty. Its context is cancelled by Duty.Stop, or when the kernel has stopped all
// services. The list of duties shows the counters of the given rings.
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

// Duties returns the running duties, sorted by name.
func (h *Host) Duties() []DutyInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	infos := make([]DutyInfo, 0, len(h.duties))
	for d := range h.duties {
		info := DutyInfo{Name: d.name, LastActivity: time.Unix(0, d.lastActivity.Load())}
		for _, r := range d.rings {
			info.Rings = append(info.Rings, r.Stats())
		}
		infos = append(infos, info)
	}
	slices.SortFunc(infos, func(a, b DutyInfo) int { return strings.Compare(a.Name, b.Name) })
	return infos
}

func (h *Host) stop() {
	h.cancel()
	h.wg.Wait()
}

// Loop is the event loop of a duty. It handles the messages of one ring and, if TickInterval is
// positive, calls OnTick at that interval. OnTick gets the time of the call rather than the ticker's
// time, which is too old after the process or the duty was stopped: an expired lease could then seem
// valid.
type Loop[T any] struct {
	Ring         *ring.Ring[T]
	TickInterval time.Duration
	Handle       func(now time.Time, message T)
	OnTick       func(now time.Time)
	// Idle, if set, reports that the duty is idle: no running timeout needs the resolution of
	// TickInterval. The tick interval is then IdleTickInterval. A wakeup of an idle process costs
	// about 25 us of CPU time, so ticks are most of the cost of an idle duty.
	Idle             func() bool
	IdleTickInterval time.Duration
	// Now is the clock whose time Handle and OnTick get; nil means time.Now. A duty that measures
	// leases by another clock sets it.
	Now func() time.Time
}

// Run handles messages until the context is cancelled or the ring is closed and empty.
func (l Loop[T]) Run(ctx context.Context, d *Duty) {
	t := l.newTicker()
	defer t.stop()
	for ctx.Err() == nil {
		// Ticks are checked before each message, so that timeouts fire even if the ring is
		// never empty.
		select {
		case <-t.c:
			l.handleQueued(ctx, d, &t)
			l.tick(l.now(), &t)
		default:
		}
		if l.handleNext(ctx, d, &t) {
			continue
		}
		select {
		case <-l.Ring.Ready():
		case <-t.c:
			l.handleQueued(ctx, d, &t)
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

// handleNext handles the oldest message of the ring. It returns false if there is none or the context is
// cancelled.
func (l Loop[T]) handleNext(ctx context.Context, d *Duty, t *loopTicker[T]) bool {
	if ctx.Err() != nil {
		return false
	}
	m, ok := l.Ring.TryGet()
	if !ok {
		return false
	}
	d.Touch(time.Now())
	l.Handle(l.now(), m)
	t.restoreInterval(l)
	return true
}

// handleQueued handles the messages that are in the ring when a tick comes due. After a pause of the process,
// timeouts would otherwise fire although what they wait for has arrived.
func (l Loop[T]) handleQueued(ctx context.Context, d *Duty, t *loopTicker[T]) {
	for range l.Ring.Stats().Depth {
		if !l.handleNext(ctx, d, t) {
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

func (l Loop[T]) idle() bool { return l.Idle != nil && l.Idle() }

func (l Loop[T]) tick(now time.Time, t *loopTicker[T]) {
	l.OnTick(now)
	t.updateInterval(l)
}

// loopTicker is the ticker of a loop. The interval is lengthened only after a tick: a duty that is
// idle between any two messages would otherwise reset the ticker each time and never get a tick.
type loopTicker[T any] struct {
	ticker *time.Ticker
	c      <-chan time.Time
	slow   bool
}

func (l Loop[T]) newTicker() loopTicker[T] {
	if l.TickInterval <= 0 {
		return loopTicker[T]{}
	}
	ticker := time.NewTicker(l.TickInterval)
	return loopTicker[T]{ticker: ticker, c: ticker.C}
}

func (t *loopTicker[T]) stop() {
	if t.ticker != nil {
		t.ticker.Stop()
	}
}

// restoreInterval returns to TickInterval if a message has ended the idle state.
func (t *loopTicker[T]) restoreInterval(l Loop[T]) {
	if t.slow && !l.idle() {
		t.slow = false
		t.ticker.Reset(l.TickInterval)
	}
}

// updateInterval sets the interval after a tick: IdleTickInterval if the duty is idle, else
// TickInterval.
func (t *loopTicker[T]) updateInterval(l Loop[T]) {
	switch slow := l.idle(); {
	case slow == t.slow:
	case slow:
		t.slow = true
		t.ticker.Reset(l.IdleTickInterval)
	default:
		t.slow = false
		t.ticker.Reset(l.TickInterval)
	}
}
