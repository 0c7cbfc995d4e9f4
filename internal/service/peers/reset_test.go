package peers_test

import (
	"net"
	"testing"

	"briaryard/internal/port"
	"briaryard/internal/standin/relay"
)

// Guards against lost messages that are not reported to the services, and against such a report
// when a connection was replaced and all messages were resent.
func TestLossOfMessagesIsReported(t *testing.T) {
	la, lb := listen(t), listen(t)
	address := lb.Addr().String()
	toA, err := relay.New(la.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer toA.Close()
	a := startInstance(t, "a", 1, "secret", la, "")
	b := startInstance(t, "b", 1, "secret", lb, "", toA.Address())
	up := func(n int) func() bool {
		return func() bool { return a.count(port.PeerUp) >= n && b.count(port.PeerUp) >= n }
	}
	eventually(t, "connection", up(1))
	toA.Reset()
	eventually(t, "second connection", up(2))
	a.sendAll(t, "b", 0, 5)
	wantSequence(t, b, 5)
	if n := a.count(port.PeerReset); n != 1 {
		t.Fatalf("%d resets are reported after a connection that lost nothing, want the one of the first connection", n)
	}
	// A connection that is replaced before its loss is noticed is not reported as down.
	downs := a.count(port.PeerDown)
	b.stop()
	eventually(t, "loss", func() bool { return a.count(port.PeerDown) > downs })
	a.sendAll(t, "b", 5, 10)
	l2, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	startInstance(t, "b", 2, "secret", l2, "", toA.Address())
	eventually(t, "report of the loss", func() bool { return a.count(port.PeerReset) >= 2 })
}

// Guards against loss, duplicates and a stall when far more is sent than the send window holds.
func TestFullWindowMovesOn(t *testing.T) {
	la, lb := listen(t), listen(t)
	a := startInstance(t, "a", 1, "secret", la, "")
	b := startInstance(t, "b", 1, "secret", lb, "", la.Addr().String())
	eventually(t, "connection", func() bool { return a.count(port.PeerUp) > 0 })
	const messages = 20_000
	a.sendAll(t, "b", 0, messages)
	wantSequence(t, b, messages)
}
