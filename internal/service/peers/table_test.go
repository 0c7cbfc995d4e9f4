package peers

import (
	"log/slog"
	"testing"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Guards against a late connection of a link that the other side has replaced. It took the place
// of the newer connection, the receiver lost track of the messages that it had received, and every
// later connection was closed because of a gap in the message ids.
func TestConnectionOfAnOlderLinkIsRefused(t *testing.T) {
	s := New(event.New(slog.New(slog.DiscardHandler)), Options{Self: model.Instance{ID: "b", Incarnation: 1}})
	remote := model.Instance{ID: "a", Incarnation: 1}
	current := &conn{remote: remote, remoteLink: 2, id: 7}
	tab := &table{service: s, peers: map[model.InstanceID]*peer{
		"a": {record: remote, conn: current, remoteLink: 2},
	}}
	if reason, _ := tab.checkConn(&conn{remote: remote, remoteLink: 1, id: 8}); reason != fault.RefusedDuplicate {
		t.Fatalf("refusal reason %q for a connection of the older link", reason)
	}
	if reason, _ := tab.checkConn(&conn{remote: remote, remoteLink: 3, id: 9}); reason != "" {
		t.Fatalf("a connection of a newer link is refused: %q", reason)
	}
	remote.Incarnation = 2
	if reason, _ := tab.checkConn(&conn{remote: remote, remoteLink: 1, id: 10}); reason != "" {
		t.Fatalf("a connection of a newer incarnation is refused: %q", reason)
	}
	tab.peers["a"].conn = nil
	remote.Incarnation = 1
	if reason, _ := tab.checkConn(&conn{remote: remote, remoteLink: 1, id: 11}); reason != fault.RefusedDuplicate {
		t.Fatalf("refusal reason %q for a connection of the older link while there is no connection", reason)
	}
}

// Guards against link nonces that do not show which of two links is the newer one.
func TestLinkNumbersGrow(t *testing.T) {
	s := New(event.New(slog.New(slog.DiscardHandler)), Options{})
	last := uint64(0)
	for range 1000 {
		next := s.nextNonce()
		if next <= last {
			t.Fatalf("link nonce %d follows %d", next, last)
		}
		last = next
	}
}
