package peers_test

import (
	"testing"

	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/standin/relay"
)

// Guards against the order of events at a start that once left two instances without a
// numbering of messages: a link is opened, it is given up while its connection is still on the
// way, a second link to another address of the same instance takes over, and the connection of
// the first link arrives last. It must not replace the connection of the second link: the
// receiver would forget which messages it has and find a gap in everything that follows.
func TestLateConnectionOfAGivenUpLinkChangesNothing(t *testing.T) {
	la, lb := listen(t), listen(t)
	late, err := relay.New(lb.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	late.Block(relay.Both)
	a := startNode(t, "a", 1, "secret", la, "")
	b := startNode(t, "b", 1, "secret", lb, lb.Addr().String())
	at := func(address string) []model.Instance {
		return []model.Instance{{ID: "b", Incarnation: 1, PeerAddress: address}}
	}
	a.service.SetInstances(at(late.Address()))
	eventually(t, "connection of the first link on its way", func() bool { return late.Links() == 1 })
	a.service.SetInstances(nil)
	a.service.SetInstances(at(lb.Addr().String()))
	eventually(t, "connection of the second link", func() bool { return a.count(port.PeerUp) == 1 && b.count(port.PeerUp) == 1 })
	const step = 10
	a.sendAll(t, "b", 0, step)
	b.sendAll(t, "a", 0, step)
	wantSequence(t, b, step)
	wantSequence(t, a, step)
	if late.Links() != 1 {
		t.Fatal("the first link's attempt has ended before its connection could arrive")
	}
	late.Resume()
	eventually(t, "decision about the late connection", func() bool { return late.Links() == 0 })
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
