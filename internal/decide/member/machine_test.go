package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"briaryard/internal/decide/member"
	"briaryard/internal/model"
)

var start = time.Unix(1_000_000, 0)

func machine(id model.InstanceID) *member.Machine {
	return member.New(start, model.Instance{ID: id, Incarnation: 1}, false)
}

func server(incarnation model.Incarnation, sequence uint64, state model.MemberState, home model.InstanceID) model.BackendServer {
	return model.BackendServer{ID: "e1", Incarnation: incarnation, Sequence: sequence, State: state, Home: home}
}

func viewOf(m *member.Machine) *model.View {
	m.SetSelf(model.Alive, false)
	v, _ := m.View()
	return v
}

func stateOf(m *member.Machine) model.MemberState {
	if s, ok := viewOf(m).Server("e1"); ok {
		return s.State
	}
	return model.Gone
}

// Guards against merge rules whose result depends on the order or duplication of messages, and
// against a state that regresses within an incarnation.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) model.BackendServer {
			return server(
				model.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")), rapid.Uint64Range(1, 4).Draw(t, "sequence"),
				rapid.SampledFrom([]model.MemberState{model.Alive, model.Leaving, model.Gone}).Draw(t, "state"),
				rapid.SampledFrom([]model.InstanceID{"x", "y"}).Draw(t, "home"))
		}), 1, 8).Draw(t, "records")
		order := rapid.Permutation(append(slices.Clone(records), records...)).Draw(t, "order")
		a, b := machine("a"), machine("b")
		// Both know the server, because a gone record of an unknown server is ignored.
		first := member.Records{Servers: []model.BackendServer{server(1, 0, model.Alive, "x")}}
		a.Merge(start, first)
		b.Merge(start, first)
		for _, r := range records {
			a.Merge(start, member.Records{Servers: []model.BackendServer{r}})
		}
		for _, r := range order {
			before, _ := viewOf(b).Server("e1")
			b.Merge(start, member.Records{Servers: []model.BackendServer{r}})
			after, _ := viewOf(b).Server("e1")
			regressed := after.Incarnation < before.Incarnation ||
				after.Incarnation == before.Incarnation && before.State >= model.Leaving && after.State < before.State
			if regressed {
				t.Fatalf("record regressed from %+v to %+v", before, after)
			}
		}
		sa, _ := viewOf(a).Server("e1")
		sb, _ := viewOf(b).Server("e1")
		if fmt.Sprint(sa) != fmt.Sprint(sb) {
			t.Fatalf("views differ: %+v and %+v", sa, sb)
		}
	})
}

// fleet is a set of machines that exchange messages over a simulated network.
type fleet struct {
	machines map[model.InstanceID]*member.Machine
}

// deliver delivers messages until none are left. lose decides for each message and receiver
// whether it is lost.
func (f *fleet) deliver(now time.Time, lose func() bool) {
	for {
		delivered := false
		for from, m := range f.machines {
			sends, _, _ := m.Take()
			for _, s := range sends {
				for to, other := range f.machines {
					if to == from || s.To != "" && s.To != to || lose() {
						continue
					}
					delivered = true
					deliver(other, now, from, s.Body)
				}
			}
		}
		if !delivered {
			return
		}
	}
}

func deliver(m *member.Machine, now time.Time, from model.InstanceID, body any) {
	switch b := body.(type) {
	case member.Records:
		m.Merge(now, b)
	case member.Digest:
		m.TakeDigest(from, b)
	case member.Versions:
		m.TakeVersions(from, b)
	case member.Want:
		m.TakeWant(from, b)
	}
}

// Guards against lost messages whose records the exchange of digests does not repair.
func TestDigestsRepairLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{machines: make(map[model.InstanceID]*member.Machine)}
		ids := []model.InstanceID{"a", "b", "c"}
		for _, id := range ids {
			f.machines[id] = machine(id)
		}
		for _, m := range f.machines {
			for _, id := range ids {
				m.PeerUp(start, model.Instance{ID: id, Incarnation: 1})
			}
		}
		now := start
		lose := func() bool { return rapid.Bool().Draw(t, "lose") }
		for range rapid.IntRange(1, 6).Draw(t, "announcements") {
			id := rapid.SampledFrom(ids).Draw(t, "home")
			s := model.BackendServer{ID: model.BackendServerID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "server")), Incarnation: 1, Slots: rapid.IntRange(1, 4).Draw(t, "slots")}
			f.machines[id].Announce(now, s)
			f.deliver(now, lose)
		}
		f.deliver(now, func() bool { return false })
		for range 6 {
			now = now.Add(member.DigestEvery / 2)
			for _, id := range ids {
				f.machines[id].Tick(now)
				f.machines[id].Tick(now.Add(member.DigestEvery / 2))
			}
			now = now.Add(member.DigestEvery / 2)
			for _, m := range f.machines {
				// Heartbeats keep every server alive at its current home.
				for _, s := range viewOf(m).Servers {
					if s.Home == m.Self().ID {
						m.Announce(now, s)
					}
				}
			}
			f.deliver(now, func() bool { return false })
		}
		want := fmt.Sprint(viewOf(f.machines["a"]).Servers)
		for _, id := range ids[1:] {
			if got := fmt.Sprint(viewOf(f.machines[id]).Servers); got != want {
				t.Fatalf("views differ:\n%s\n%s", want, got)
			}
		}
	})
}

// tickUntil calls Tick every 100 ms of simulated time.
func tickUntil(m *member.Machine, from, until time.Duration) {
	for d := from; d <= until; d += 100 * time.Millisecond {
		m.Tick(start.Add(d))
	}
}

// Guards against a dead backend server that keeps getting work, and against an announcement that
// revives a gone incarnation.
func TestSilentServerIsSuspectedAndRemoved(t *testing.T) {
	m := machine("a")
	m.Announce(start, server(1, 0, model.Alive, ""))
	tickUntil(m, 0, 1400*time.Millisecond)
	if s := stateOf(m); s != model.Alive {
		t.Fatalf("state %v before the timeout", s)
	}
	tickUntil(m, 1500*time.Millisecond, 2900*time.Millisecond)
	if s := stateOf(m); s != model.Suspect {
		t.Fatalf("state %v, want suspect", s)
	}
	tickUntil(m, 3*time.Second, 3*time.Second)
	if s := stateOf(m); s != model.Gone {
		t.Fatalf("state %v, want gone", s)
	}
	if r := m.Announce(start.Add(4*time.Second), server(1, 0, model.Alive, "")); !r.Refused {
		t.Fatal("the announcement of a gone incarnation was accepted")
	}
	if r := m.Announce(start.Add(4*time.Second), server(2, 0, model.Alive, "")); r.Refused || stateOf(m) != model.Alive {
		t.Fatal("the announcement of a higher incarnation was refused")
	}
}

// Guards against mass expiry after the observer itself was paused or disconnected.
func TestPausedOrDisconnectedObserverExpiresNothing(t *testing.T) {
	paused := machine("a")
	paused.Announce(start, server(1, 0, model.Alive, ""))
	paused.Tick(start)
	paused.Tick(start.Add(20 * time.Second))
	if s := stateOf(paused); s != model.Alive {
		t.Fatalf("state %v after a pause of the observer", s)
	}
	tickUntil(paused, 20*time.Second, 23*time.Second)
	if s := stateOf(paused); s != model.Gone {
		t.Fatalf("state %v, want gone after expiry has resumed", s)
	}
	disconnected := machine("a")
	for _, id := range []model.InstanceID{"b", "c", "d"} {
		disconnected.PeerUp(start, model.Instance{ID: id, Incarnation: 1})
	}
	disconnected.PeerSilent(start.Add(1500*time.Millisecond), "b", start, true)
	disconnected.PeerSilent(start.Add(1500*time.Millisecond), "c", start, true)
	tickUntil(disconnected, 1500*time.Millisecond, 4400*time.Millisecond)
	if i, _ := viewOf(disconnected).Instance("b"); i.State != model.Alive {
		t.Fatalf("state %v although most peers went silent at once", i.State)
	}
}

// Guards against a backend server that is removed together with its home, and against one that
// stays gone although another instance has adopted it.
func TestServerOutlivesItsHome(t *testing.T) {
	a, b := machine("a"), machine("b")
	for _, id := range []model.InstanceID{"b", "h"} {
		a.PeerUp(start, model.Instance{ID: id, Incarnation: 1})
	}
	a.Merge(start, member.Records{Servers: []model.BackendServer{server(1, 1, model.Alive, "h")}})
	b.Merge(start, member.Records{Servers: []model.BackendServer{server(1, 1, model.Alive, "h")}})
	a.PeerSilent(start, "h", start, true)
	tickUntil(a, 0, 3100*time.Millisecond)
	if s := stateOf(a); s != model.Suspect {
		t.Fatalf("state %v, want suspect while no instance has adopted the server", s)
	}
	tickUntil(a, 3200*time.Millisecond, 6200*time.Millisecond)
	if s := stateOf(a); s != model.Gone {
		t.Fatalf("state %v, want gone", s)
	}
	b.Announce(start, server(1, 0, model.Alive, ""))
	sends, _, _ := b.Take()
	for _, s := range sends {
		deliver(a, start, "b", s.Body)
	}
	if s := stateOf(a); s != model.Alive {
		t.Fatalf("state %v, want alive after the adoption", s)
	}
}
