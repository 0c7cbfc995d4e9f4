package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"briaryard/internal/decide/quarantine"
	"briaryard/internal/model"
)

// send merges all records of one ledger into another one, whose clock is shifted, through durations.
func send(from, to *quarantine.Ledger, now time.Time, shift time.Duration) {
	var list []quarantine.Record
	for _, r := range from.All() {
		relative := r.Relative(now)
		list = append(list, relative.Absolute(now.Add(shift)))
	}
	to.Merge(now.Add(shift), list)
}

// Guards against evidence that counts only at the instance that has seen it: each crash is seen by another
// instance, whose clocks differ.
func TestEvidenceOfSeveralInstancesCounts(t *testing.T) {
	g := NewWithT(t)
	core := quarantine.NewLedger()
	for n := range 3 {
		now := at(time.Duration(n) * time.Second)
		entry := quarantine.NewLedger()
		crash(entry, time.Duration(n)*time.Second, n, "first", "dead")
		send(entry, core, now, time.Hour)
	}
	g.Expect(held(core, "first", "dead")).To(BeTrue())
	restarted := quarantine.NewLedger()
	send(core, restarted, at(time.Hour+4*time.Second), -time.Hour)
	g.Expect(held(restarted, "first", "dead")).To(BeTrue(), "an instance that has restarted learns it")
	refusal, _ := restarted.View().Check(at(4*time.Second), parts("first", "dead"), 0)
	g.Expect(refusal.Wait).To(Equal(58 * time.Second))
}

// Guards against late evidence that brings back what an answer has refuted.
func TestEvidenceFromBeforeAnAnswerIsVoid(t *testing.T) {
	g := NewWithT(t)
	a, b := quarantine.NewLedger(), quarantine.NewLedger()
	for n := range 3 {
		crash(a, time.Duration(n)*time.Second, n, "p")
	}
	send(a, b, at(3*time.Second), 0)
	b.Observe(at(4*time.Second), began("p"))
	_, outdated := b.Merge(at(5*time.Second), a.All())
	g.Expect(outdated).To(Equal(parts("p")))
	g.Expect(held(b, "p")).To(BeFalse())
	send(b, a, at(5*time.Second), 0)
	g.Expect(held(a, "p")).To(BeFalse())
}

// Guards against a probe that crashes a server and counts once for each instance that hears of it.
func TestAProbeThatFailsCountsOnce(t *testing.T) {
	g := NewWithT(t)
	a, b := quarantine.NewLedger(), quarantine.NewLedger()
	for n := range 3 {
		crash(a, time.Duration(n)*time.Second, n, "p")
	}
	send(a, b, at(3*time.Second), 0)
	crash(a, 70*time.Second, 9, "p")
	for range 3 {
		send(a, b, at(71*time.Second), 0)
		send(b, a, at(71*time.Second), 0)
	}
	ra, _ := a.Get("p")
	rb, _ := b.Get("p")
	g.Expect([]int{ra.Level, rb.Level}).To(Equal([]int{2, 2}))
	g.Expect(rb.Until).To(Equal(at(190 * time.Second)))
}

// Guards against ledgers that do not agree after they have heard the same, in whatever order and however
// often.
func TestLedgersAgreeAfterAnyExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*quarantine.Ledger{quarantine.NewLedger(), quarantine.NewLedger(), quarantine.NewLedger()}
		pick := func() *quarantine.Ledger {
			return ledgers[rapid.IntRange(0, len(ledgers)-1).Draw(t, "ledger")]
		}
		part := rapid.SampledFrom([]model.PromptPart{"a", "b", "c"})
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				pick().Observe(now, began(part.Draw(t, "part")))
			case 1:
				send(pick(), pick(), now, 0)
			default:
				crash(pick(), now.Sub(start), rapid.IntRange(0, 30).Draw(t, "server"), part.Draw(t, "part"), part.Draw(t, "part"))
			}
		}
		for range len(ledgers) {
			for _, from := range ledgers {
				for _, to := range ledgers {
					send(from, to, now, 0)
				}
			}
		}
		for _, p := range []model.PromptPart{"a", "b", "c"} {
			want, _ := ledgers[0].Get(p)
			for _, l := range ledgers[1:] {
				got, _ := l.Get(p)
				if got.Generation != want.Generation || got.Level != want.Level || len(got.Crashes) != len(want.Crashes) {
					t.Fatalf("%s: %+v and %+v", p, want, got)
				}
			}
		}
	})
}
