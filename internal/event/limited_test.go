package event_test

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"briaryard/internal/event"
)

// Guards against network clients that fill the log, and against events that are left out without
// being counted.
func TestLimitedEventsAreBoundedAndCounted(t *testing.T) {
	l := event.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	limited := l.Limit(event.HTTPError)
	now := time.Unix(1000, 0)
	for range 500 {
		limited.Emit(now, "front.caller", "bad handshake")
	}
	all := func(event.Record) bool { return true }
	if n := len(l.Recent(all)); n != 10 {
		t.Fatalf("%d events in one window", n)
	}
	limited.Emit(now.Add(time.Minute), "front.caller", "another")
	records := l.Recent(all)
	if last := records[len(records)-1]; len(records) != 11 || last.Fields["left_out"] != 490 || last.Fields["error"] != "another" {
		t.Fatalf("%d events, the last with %v", len(records), last.Fields)
	}
}

// Guards against lines of a library that are split, joined, or as long as a remote peer makes them.
func TestLibraryLinesBecomeEvents(t *testing.T) {
	l := event.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	logger := l.Limit(event.HTTPError).Logger("front.caller")
	logger.Printf("http: TLS handshake error from %s: %s", "127.212.0.1:5", "EOF")
	logger.Print(strings.Repeat("x", 1<<20))
	records := l.Recent(func(event.Record) bool { return true })
	if len(records) != 2 || records[0].Fields["service"] != "front.caller" ||
		records[0].Fields["error"] != "http: TLS handshake error from 127.212.0.1:5: EOF" {
		t.Fatalf("%d events, the first with %v", len(records), records[0].Fields)
	}
	if n := len(records[1].Fields["error"].(string)); n > 4096 {
		t.Fatalf("a text of %d bytes", n)
	}
}
