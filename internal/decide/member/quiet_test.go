package member_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/decide/member"
	"briaryard/internal/model"
)

// Guards against limits of silence that are noticed late because the ticks come less often
// while nothing is silent.
func TestQuietTicksKeepTheLimitsOfSilence(t *testing.T) {
	const usual, slow = 100 * time.Millisecond, 250 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		m := member.New(start, model.Instance{ID: "a", Incarnation: 1}, true)
		m.PeerUp(start, model.Instance{ID: "b", Incarnation: 1})
		last := start.Add(time.Duration(rapid.IntRange(500, 4000).Draw(t, "last")) * time.Millisecond)
		beat, quiet := start.Add(time.Duration(rapid.IntRange(1, 499).Draw(t, "phase"))*time.Millisecond), 0
		for now := start; now.Before(last.Add(4 * time.Second)); {
			step := usual
			if m.Quiet(now) {
				step = slow
				quiet++
			}
			for ; !beat.After(now.Add(step)) && !beat.After(last); beat = beat.Add(500 * time.Millisecond) {
				m.Announce(beat, server(1, 0, model.Alive, ""))
			}
			now = now.Add(step)
			v := viewOf(m)
			s, _ := v.Server("e1")
			silence := now.Sub(beat.Add(-500 * time.Millisecond))
			switch {
			case silence > member.GoneAfter+usual && s.State != model.Gone:
				t.Fatalf("%v after %v of silence", s.State, silence)
			case silence > member.SuspectAfter+usual && s.State < model.Suspect:
				t.Fatalf("%v after %v of silence", s.State, silence)
			}
			m.Tick(now)
		}
		if quiet == 0 {
			t.Fatal("never quiet")
		}
	})
}
