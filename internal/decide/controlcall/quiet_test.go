package controlcall_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/decide/controlcall"
	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/model"
)

// Guards against a lease that is published as held after its expiry, and against late heartbeats,
// because ticks are less frequent while the machine is quiet.
func TestQuietTicksKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := start()
		// The lease expires before the machine detects that the leader does not answer.
		h.Machine = controlcall.New(h.now, controlcall.Options{
			Self: "me", Incarnation: 3, Voters: []model.InstanceID{"v1", "v2", "v3"},
			HeartbeatInterval: 250 * time.Millisecond, HolderInterval: 125 * time.Millisecond,
			Lease:         session.Options{LeaseDuration: 500 * time.Millisecond, DriftPercent: 1},
			ConfirmWithin: 5 * time.Second,
		})
		h.Confirm(5)
		h.record(h.Tick(h.now))
		lease := state.Lease{Name: "dispatcher/m", Holder: "me", Incarnation: 3, Epoch: 7}
		held := rapid.Bool().Draw(t, "held")
		answer := session.Answer{Revision: 5}
		longest := 250 * time.Millisecond
		if held {
			answer.Leases = []state.Lease{lease}
			longest = 125 * time.Millisecond
		}
		h.answerHeartbeat(answer)
		renewed, sent, quiet := h.now, h.now, 0
		loss := rapid.IntRange(0, 9).Draw(t, "loss")
		for range 200 {
			step := controlcall.Tick
			if h.Quiet(h.now) {
				step = controlcall.QuietTick
				quiet++
			}
			// Ticks are early or on time: a late one would be a pause of the process, which can
			// happen at any interval.
			h.now = h.now.Add(step - time.Duration(rapid.IntRange(0, 2).Draw(t, "early"))*time.Millisecond)
			acting := len(h.leases) == 1 && h.leases[0].Holder == "me" && !h.leases[0].Lapsed
			if silence := h.now.Sub(renewed); acting && silence > 495*time.Millisecond {
				t.Fatalf("the lease is published as held %v after its renewal", silence)
			}
			before := len(h.heartbeats)
			h.record(h.Tick(h.now))
			if late := h.now.Sub(sent); late > longest+controlcall.Tick {
				t.Fatalf("no heartbeat for %v", late)
			}
			if len(h.heartbeats) == before {
				continue
			}
			sent = h.now
			if rapid.IntRange(0, 9).Draw(t, "lost") >= loss {
				h.answerHeartbeat(answer)
				renewed = h.now
			}
		}
		if loss == 0 && quiet < 190 {
			t.Fatalf("quiet in %d of 200 ticks without a loss", quiet)
		}
	})
}
