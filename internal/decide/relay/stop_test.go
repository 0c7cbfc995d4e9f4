package relay_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/relay"
	"briaryard/internal/decide/routing"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// stoppingTable has a route for short calls and one for streams that may take longer than a stop.
func stoppingTable() *routing.Table {
	share := []model.Share{{Service: "s", Weight: 1}}
	return routing.New(&model.RouteConfig{Revision: 1, Routes: []model.HTTPRoute{
		{Name: "short", Host: "h", Prefix: "/short/", Timeout: 1500 * time.Millisecond, Split: share, Public: true},
		{Name: "chat", Host: "h", Prefix: "/chat/", Kind: model.KindStream, Timeout: 15 * time.Second, Split: share, Public: true},
	}})
}

// Guards against a planned stop that cuts off a stream which it accepted after the stop signal. The
// stream was expected to be short, and ran until the process was killed.
func TestAStoppingInstanceTakesOnlyWhatEndsBeforeItsStop(t *testing.T) {
	const stop = 7 * time.Second
	cases := []struct {
		name, path string
		at         time.Duration
		timeout    time.Duration
		expected   int
		taken      bool
	}{
		{name: "short call at once", path: "/short/", taken: true},
		{name: "short call that just fits", path: "/short/", at: stop - 1500*time.Millisecond, taken: true},
		{name: "short call too late", path: "/short/", at: stop - time.Second},
		{name: "stream of 15 s", path: "/chat/", expected: 8},
		{name: "stream that is expected to be short", path: "/chat/", timeout: 14 * time.Second, expected: 1},
		{name: "stream whose caller waits less", path: "/chat/", timeout: 6 * time.Second, taken: true},
		{name: "the same later", path: "/chat/", at: 1600 * time.Millisecond, timeout: 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a := relay.Admission{Table: stoppingTable(), ConfirmedAt: start.Add(c.at), Lease: 4 * time.Second, StopAt: start.Add(stop)}
			r, f := a.Admit(start.Add(c.at), &relay.Arrival{ID: id, Host: "h", Path: c.path, Timeout: c.timeout, ExpectedTokens: c.expected})
			if c.taken {
				g.Expect(f).To(BeNil())
				g.Expect(r.Deadline).NotTo(BeTemporally(">", start.Add(stop)))
				return
			}
			g.Expect(f).NotTo(BeNil())
			g.Expect(f.Code()).To(Equal(fault.CodeInstanceClosed))
			g.Expect(fault.MappingOf(f).RunState).To(Equal(model.NotRun))
			g.Expect(fault.RetryAfterOf(f)).To(BeNumerically(">", 0))
		})
	}
}
