package load

import (
	"strings"
	"testing"
	"time"

	"briaryard/internal/httpserve"
	"briaryard/internal/standin/engine"
)

// Guards against runs that cannot be repeated and against a wrong rate: the same seed must give
// the same arrivals, and the mean must be the requested rate although bursts triple it.
func TestScheduleIsRepeatableAndKeepsItsRate(t *testing.T) {
	const rate, length = 200.0, 100 * time.Second
	one := schedule(officeMix(), 7, rate, length)
	two := schedule(officeMix(), 7, rate, length)
	if len(one) != len(two) {
		t.Fatalf("%d and %d arrivals from one seed", len(one), len(two))
	}
	inBursts := 0
	for i := range one {
		if one[i].at != two[i].at || one[i].key != two[i].key || one[i].prompt != two[i].prompt {
			t.Fatalf("arrival %d differs", i)
		}
		if one[i].at%burstEvery < burstLength {
			inBursts++
		}
	}
	if mean := float64(len(one)) / length.Seconds(); mean < 0.95*rate || mean > 1.05*rate {
		t.Fatalf("mean rate is %.0f, want %.0f", mean, rate)
	}
	if burst := float64(inBursts) / 10; burst < 2.5*rate || burst > 3.5*rate {
		t.Fatalf("rate in bursts is %.0f, want %.0f", burst, 3*rate)
	}
}

// Guards against a checker that accepts an incomplete answer, or one with another request's text.
func TestJudgeTellsWholeCutAndMixedAnswers(t *testing.T) {
	prompt := []byte("p")
	text := engine.AnswerToken(prompt, 0) + engine.AnswerToken(prompt, 1)
	for got, want := range map[string]outcome{
		text: complete, engine.AnswerToken(prompt, 0): cut, "": cut,
		engine.AnswerToken([]byte("q"), 0) + engine.AnswerToken(prompt, 1): mixed,
		text + engine.AnswerToken(prompt, 1):                               mixed,
	} {
		if o := classifyText(got, prompt, 2); o != want {
			t.Errorf("%q is classified as %d, want %d", got, o, want)
		}
	}
}

// Guards against a report that omits a violated guarantee.
func TestReportFindsEachBrokenPromise(t *testing.T) {
	c := newChecker()
	a := &arrival{class: &Class{Tier: "urgent", Deadline: time.Second, Keyed: true}, key: "k1"}
	c.recordResult(a, attempt{outcome: refused, problem: httpserve.Problem{RunState: "not_run"}}, 0, nil)
	c.recordResult(&arrival{class: a.class, key: "k2"}, attempt{outcome: complete}, 0, nil)
	c.recordResult(&arrival{class: a.class, key: "k3"}, attempt{outcome: broken}, 0, nil)
	c.recordAttempt(a, attempt{outcome: cut}, 0)
	c.recordAttempt(a, attempt{outcome: mixed}, 0)
	o := Options{StandinAddresses: []string{"stand-in"}}
	faults := strings.Join(c.report(o, execution{Executed: map[string]int{"k1": 2}, AdmittedAfterLeaving: 1}).Violations(), "; ")
	for _, want := range []string{"more than once", "lost", "cut", "mixed", "answered not_run", "never executed", "leaving"} {
		if !strings.Contains(faults, want) {
			t.Errorf("the report does not say %q: %s", want, faults)
		}
	}
}

// Guards against a caller that stops retrying after a broken connection because of earlier
// refusals: the request then counts as lost although no other instance was tried.
func TestBrokenConnectionIsRetriedAfterRefusals(t *testing.T) {
	var state retryState
	for n := range maxRefusals - 1 {
		if _, retry := state.next(refused); !retry {
			t.Fatalf("no attempt after refusal %d", n+1)
		}
	}
	for n := range maxBrokenConnections - 1 {
		if _, retry := state.next(broken); !retry {
			t.Fatalf("no attempt after broken connection %d", n+1)
		}
	}
	if _, retry := state.next(broken); retry {
		t.Fatalf("an attempt after %d broken connections in a row", maxBrokenConnections)
	}
	if _, retry := state.next(refused); retry {
		t.Fatalf("an attempt after %d refusals", maxRefusals)
	}
}
