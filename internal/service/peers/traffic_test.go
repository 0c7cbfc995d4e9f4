package peers_test

import (
	"testing"

	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/service/peers"
)

// Guards against traffic between instances that is not counted, and against messages that are
// counted for the wrong service.
func TestSentIsCountedByService(t *testing.T) {
	set := metric.NewSet()
	la, lb := listen(t), listen(t)
	a := startInstanceWith(t, peers.Options{
		Self:     model.Instance{ID: "a", Incarnation: 1, PeerAddress: la.Addr().String()},
		Listener: la, Peers: []string{lb.Addr().String()}, Token: "t", Metrics: set,
	})
	startInstance(t, "b", 1, "t", lb, lb.Addr().String())
	eventually(t, "a connection", func() bool { return a.service.Send("b", "numbers", 7) == nil })
	count := func(d metric.Def, service string) int64 { return set.Counter(d, service).Count() }
	eventually(t, "a message and a heartbeat", func() bool {
		return count(metric.PeerSentMessages, "numbers") > 0 && count(metric.PeerSentMessages, "peers") > 0
	})
	if n := count(metric.PeerSentMessages, "numbers"); n != 1 {
		t.Errorf("%d messages counted, want 1", n)
	}
	// The frame holds the service's name, a body of one byte and a few bytes around them.
	if n := count(metric.PeerSentBytes, "numbers"); n < int64(len("numbers")+1) || n > 32 {
		t.Errorf("%d bytes counted for a message of one byte", n)
	}
}
