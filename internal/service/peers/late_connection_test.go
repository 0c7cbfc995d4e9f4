package peers_test

import (
	"testing"

	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/standin/relay"
)

// Guards against a late connection of a removed link that replaces the connection of the newer
// link. At a start, a link was removed while its connection was still being opened, a second link
// dialed another address of the same instance, and the connection of the first link arrived last.
// The receiver then lost track of the messages that it had, and found a gap in all that followed.
func TestLateConnectionOfAGivenUpLinkChangesNothing(t *testing.T) {
	la, lb := listen(t), listen(t)
	late, err := relay.New(lb.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	late.Block(relay.Both)
	a := startInstance(t, "a", 1, "secret", la, "")
	b := startInstance(t, "b", 1, "secret", lb, lb.Addr().String())
	at := func(address string) []model.Instance {
		return []model.Instance{{ID: "b", Incarnation: 1, PeerAddress: address}}
	}
	a.service.SetInstances(at(late.Address()))
	eventually(t, "pending connection of the first link", func() bool { return late.OpenConnections() == 1 })
	a.service.SetInstances(nil)
	a.service.SetInstances(at(lb.Addr().String()))
	eventually(t, "connection of the second link", func() bool { return a.count(port.PeerUp) == 1 && b.count(port.PeerUp) == 1 })
	const step = 10
	a.sendAll(t, "b", 0, step)
	b.sendAll(t, "a", 0, step)
	wantSequence(t, b, step)
	wantSequence(t, a, step)
	if late.OpenConnections() != 1 {
		t.Fatal("the first link's attempt has ended before its connection could arrive")
	}
	late.Resume()
	eventually(t, "decision about the late connection", func() bool { return late.OpenConnections() == 0 })
	for i := 1; i <= 3; i++ {
		a.sendAll(t, "b", i*step, (i+1)*step)
		b.sendAll(t, "a", i*step, (i+1)*step)
		wantSequence(t, b, (i+1)*step)
		wantSequence(t, a, (i+1)*step)
	}
	if n := b.count(port.PeerUp); n != 1 {
		t.Fatalf("the connection was replaced: %d connections", n)
	}
}
