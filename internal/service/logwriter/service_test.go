package logwriter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
)

// blockingWriter is an output whose writes block until release is closed.
type blockingWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against a process that blocks because the reader of its log has stopped reading. Lines that
// do not fit the ring are counted, and the count is logged later.
func TestLogIsBoundedAndNeverWaits(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	s := New(out)
	log, err := event.NewStream(s, "info")
	if err != nil {
		t.Fatal(err)
	}
	m := metric.NewSet()
	s.Report(log, m)
	const extra = 100
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range ringCapacity + extra {
			_, _ = fmt.Fprintf(s, "line %d\n", n)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a write of a line blocked on the output")
	}
	close(out.release)
	k := kernel.New(func(err error) { t.Error(err) })
	if err := s.Start(k.Host()); err != nil {
		t.Fatal(err)
	}
	if err := s.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if n := strings.Count(text, "line "); n != ringCapacity {
		t.Errorf("%d lines were written, want %d", n, ringCapacity)
	}
	if !strings.Contains(text, `"lines":100`) {
		t.Errorf("the number of dropped lines is not logged; the log ends with %q", text[max(len(text)-300, 0):])
	}
	if n := m.Counter(metric.LogLinesDropped, "").Count(); n != extra {
		t.Errorf("%d lines are counted as dropped, want %d", n, extra)
	}
}

// Guards against the loss of the last lines of a process that stops, which contain the reason.
func TestStopWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	k := kernel.New(func(err error) { t.Error(err) })
	if err := s.Start(k.Host()); err != nil {
		t.Fatal(err)
	}
	for n := range 1000 {
		_, _ = fmt.Fprintf(s, "%d\n", n)
	}
	if err := s.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(out.String())
	if len(lines) != 1000 || lines[999] != "999" {
		t.Errorf("%d lines were written, want all 1000 in order", len(lines))
	}
}
