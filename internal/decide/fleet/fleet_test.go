package fleet_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

var start = time.Unix(1_000_000, 0)

// completeRequest completes one request of 1,000 prompt tokens on a server without other work.
func completeRequest(f *fleet.Fleet, server model.BackendServerID, seq uint64, first time.Duration) {
	d := &model.Descriptor{ID: model.RequestID{Seq: seq}, PromptTokens: 1000, OutputTokens: 100}
	w := &fleet.Work{}
	f.Begin(start, w, d, model.Grant{Request: d.ID, Server: server, Incarnation: 1})
	f.Progress(w, model.Progress{Kind: model.ProgressFirstToken, FirstToken: first})
	f.Progress(w, model.Progress{Kind: model.ProgressFinished})
}

// newPairFleet returns a fleet of two equal servers, a and b.
func newPairFleet() *fleet.Fleet {
	f := fleet.New(fleet.NewGradient, 1)
	f.Set([]model.BackendServer{
		{ID: "a", Incarnation: 1, Slots: 16, Generation: "g"}, {ID: "b", Incarnation: 1, Slots: 16, Generation: "g"},
	})
	return f
}

// Guards against a window that stays open when an engine slows to a quarter of its speed.
func TestWindowShrinksWithinFewAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newPairFleet()
	for i := range uint64(40) {
		completeRequest(f, "a", i, 200*time.Millisecond)
	}
	g.Expect(f.Slots()).To(Equal(32))
	for i := range uint64(5) {
		completeRequest(f, "a", 100+i, 800*time.Millisecond)
	}
	g.Expect(f.Slots()).To(BeNumerically("<=", 16+4))
}

// Guards against full confidence in cache entries after cache events were lost.
func TestGapInEventsHalvesConfidence(t *testing.T) {
	g := NewWithT(t)
	f := newPairFleet()
	f.Set([]model.BackendServer{{ID: "a", Incarnation: 1, Slots: 16}})
	d := &model.Descriptor{PromptTokens: 1000, Prefix: []uint64{7}}
	saved := func() int {
		e, _, _ := f.Choose(start, d, "", 1, time.Hour)
		return e.Saved
	}
	f.Cache(model.CacheEvent{Server: "a", Incarnation: 1, Seq: 1, Prefix: 7, Tokens: 64})
	g.Expect(saved()).To(Equal(64))
	f.Cache(model.CacheEvent{Server: "a", Incarnation: 1, Seq: 3, Prefix: 8, Tokens: 64})
	g.Expect(saved()).To(Equal(32))
	f.Cache(model.CacheEvent{Server: "a", Incarnation: 1, Seq: 4, Evicted: true, Prefix: 7})
	g.Expect(saved()).To(BeZero())
}

// Guards against a panic when more servers hold a prefix than are recorded: hashes above the
// largest signed integer gave a negative index.
func TestPrefixOnManyServers(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.NewGradient, 1)
	var servers []model.BackendServer
	for i := range 20 {
		servers = append(servers, model.BackendServer{ID: model.BackendServerID(rune('a' + i)), Incarnation: 1, Slots: 4})
	}
	f.Set(servers)
	for n, hash := range []uint64{1, 1 << 63, math.MaxUint64, math.MaxUint64 - 1, 0xa94cedfcb376eca4} {
		for _, s := range servers {
			f.Cache(model.CacheEvent{Server: s.ID, Incarnation: 1, Seq: uint64(n + 1), Prefix: hash, Tokens: 64})
		}
		d := &model.Descriptor{PromptTokens: 1000, Prefix: []uint64{hash}}
		e, _, _ := f.Choose(start, d, "", 1, time.Hour)
		g.Expect(e.Saved).To(Equal(64))
	}
}

// Guards against a speed learned from one short prompt that the engine had cached: it is almost
// zero time per token, so that several long prompts are sent to the engine at once.
func TestShortPromptMeasuresNoSpeed(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.NewGradient, 1)
	f.Set([]model.BackendServer{{ID: "a", Incarnation: 1, Slots: 16, Generation: "g"}})
	d := &model.Descriptor{PromptTokens: 80, OutputTokens: 10}
	w := &fleet.Work{}
	f.Begin(start, w, d, model.Grant{Server: "a", Incarnation: 1})
	f.Progress(w, model.Progress{Kind: model.ProgressFinished, FirstToken: 5 * time.Millisecond})
	long := &model.Descriptor{PromptTokens: 5000, OutputTokens: 10}
	f.Begin(start, &fleet.Work{}, long, model.Grant{Server: "a", Incarnation: 1})
	_, _, found := f.Choose(start, long, "", 10, time.Hour)
	g.Expect(found).To(BeFalse(), "a second long prompt must wait for the first answer")
}

// Guards against a dead server that refuses each call at once, so that it looks idle and gets
// the next request too.
func TestFailedServerGetsNoWorkForAWhile(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.NewGradient, 1)
	f.Set([]model.BackendServer{{ID: "a", Incarnation: 1, Slots: 16, Generation: "g"}})
	d := &model.Descriptor{PromptTokens: 80, OutputTokens: 10}
	found := func(after time.Duration) bool {
		_, _, found := f.Choose(start.Add(after), d, "", 10, time.Hour)
		return found
	}
	fail := func(after time.Duration) {
		w := &fleet.Work{}
		f.Begin(start.Add(after), w, d, model.Grant{Server: "a", Incarnation: 1})
		f.Failed(start.Add(after), w)
		f.Progress(w, model.Progress{Kind: model.ProgressFailed})
	}
	fail(0)
	g.Expect(found(100 * time.Millisecond)).To(BeFalse())
	g.Expect(found(300 * time.Millisecond)).To(BeTrue())
	fail(300 * time.Millisecond)
	g.Expect(found(600*time.Millisecond)).To(BeFalse(), "the second pause is longer")
	g.Expect(found(900 * time.Millisecond)).To(BeTrue())
}
