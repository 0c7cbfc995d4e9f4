package member_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/decide/member"
	"briaryard/internal/model"
)

// Guards against failure detection timeouts that are applied late because ticks come less often
// while the machine is quiet.
func TestQuietTicksKeepTheTimeouts(t *testing.T) {
	const interval, quietInterval = 100 * time.Millisecond, 250 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		m := member.New(start, model.Instance{ID: "a", Incarnation: 1}, true)
		m.PeerUp(start, model.Instance{ID: "b", Incarnation: 1})
		lastHeartbeat := start.Add(time.Duration(rapid.IntRange(500, 4000).Draw(t, "last")) * time.Millisecond)
		nextHeartbeat, quietTicks := start.Add(time.Duration(rapid.IntRange(1, 499).Draw(t, "phase"))*time.Millisecond), 0
		for now := start; now.Before(lastHeartbeat.Add(4 * time.Second)); {
			step := interval
			if m.Quiet(now) {
				step = quietInterval
				quietTicks++
			}
			for ; !nextHeartbeat.After(now.Add(step)) && !nextHeartbeat.After(lastHeartbeat); nextHeartbeat = nextHeartbeat.Add(500 * time.Millisecond) {
				m.Announce(nextHeartbeat, server(1, 0, model.Alive, ""))
			}
			now = now.Add(step)
			v := viewOf(m)
			s, _ := v.Server("e1")
			silence := now.Sub(nextHeartbeat.Add(-500 * time.Millisecond))
			switch {
			case silence > member.GoneAfter+interval && s.State != model.Gone:
				t.Fatalf("%v after %v of silence", s.State, silence)
			case silence > member.SuspectAfter+interval && s.State < model.Suspect:
				t.Fatalf("%v after %v of silence", s.State, silence)
			}
			m.Tick(now)
		}
		if quietTicks == 0 {
			t.Fatal("the machine was never quiet")
		}
	})
}
