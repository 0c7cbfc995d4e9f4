package storage_test

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"briaryard/internal/storage"
)

const dir = "data"

func open(t testing.TB, m *memFS) (*storage.Log, []string, error) {
	t.Helper()
	var got []string
	l, err := storage.Open(m, dir, func(p []byte) error { got = append(got, string(p)); return nil })
	return l, got, err
}

func mustOpen(t testing.TB, m *memFS) (*storage.Log, []string) {
	t.Helper()
	l, got, err := open(t, m)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return l, got
}

func segment(t testing.TB, m *memFS) *memFile {
	t.Helper()
	for name, f := range m.files {
		if name == dir+"/segment-0000000000000001" {
			return f
		}
	}
	t.Fatal("no segment")
	return nil
}

// Guards against acknowledged frames that are lost, or a damaged tail that stays, after a crash in
// the middle of a write.
func TestTornTailIsCutAndAcknowledgedFramesStay(t *testing.T) {
	for tail := range 64 {
		m := newMemFS()
		l, _ := mustOpen(t, m)
		for i := range 3 {
			if err := l.Append(fmt.Appendf(nil, "frame %d", i)); err != nil {
				t.Fatal(err)
			}
		}
		m.syncError = syscall.EIO
		_ = l.Append([]byte("never acknowledged"))
		after := m.crash(tail)
		l, got := mustOpen(t, after)
		if want := []string{"frame 0", "frame 1", "frame 2"}; !slices.Equal(got, want) {
			t.Fatalf("tail of %d bytes: replayed %q", tail, got)
		}
		if err := l.Append([]byte("next")); err != nil {
			t.Fatal(err)
		}
		if _, got = mustOpen(t, after.crash(0)); len(got) != 4 {
			t.Fatalf("tail of %d bytes: %d frames after the cut", tail, len(got))
		}
	}
}

// Guards against a voter that starts after losing acknowledged frames: a damaged frame followed by
// an intact one must fail to open.
func TestDamageBeforeTheLastFrameIsRefused(t *testing.T) {
	m := newMemFS()
	l, _ := mustOpen(t, m)
	for i := range 3 {
		if err := l.Append(fmt.Appendf(nil, "frame %d", i)); err != nil {
			t.Fatal(err)
		}
	}
	f := segment(t, m)
	frame := len(f.data) / 3
	for at := range 2 * frame {
		f.data[at] ^= 0x01
		_, _, err := open(t, m)
		var corrupt *storage.CorruptError
		if !errors.As(err, &corrupt) {
			t.Fatalf("damage at byte %d: %v", at, err)
		}
		f.data[at] ^= 0x01
	}
}

// Guards against a voter that acknowledges entries after a full disk or a failed sync.
func TestFailedWriteStopsTheLog(t *testing.T) {
	for name, inject := range map[string]func(*memFS){
		"full": func(m *memFS) { m.room = 5 },
		"sync": func(m *memFS) { m.syncError = syscall.EIO },
	} {
		m := newMemFS()
		l, _ := mustOpen(t, m)
		if err := l.Append([]byte("kept")); err != nil {
			t.Fatal(err)
		}
		inject(m)
		var write *storage.WriteError
		if err := l.Append([]byte("lost")); !errors.As(err, &write) {
			t.Fatalf("%s: %v", name, err)
		}
		m.room, m.syncError = 1<<30, nil
		var failed *storage.FailedError
		if err := l.Append([]byte("later")); !errors.As(err, &failed) {
			t.Fatalf("%s: append after the failure returned %v, want FailedError", name, err)
		}
		if _, got := mustOpen(t, m.crash(0)); !slices.Equal(got, []string{"kept"}) {
			t.Fatalf("%s: replayed %q", name, got)
		}
	}
}

// Guards against acknowledged frames that are lost, or obsolete ones that are replayed, when a
// crash or a failed sync happens around a checkpoint.
func TestCheckpointSurvivesCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMemFS()
		l, _ := mustOpen(t, m)
		var acked []string
		for i := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				// A checkpoint replaces everything before it.
				m.syncError = rapid.SampledFrom([]error{nil, syscall.EIO}).Draw(rt, "sync")
				if l.Checkpoint([]byte("checkpoint")) == nil {
					acked = []string{"checkpoint"}
				}
			case 1:
				m = m.crash(rapid.IntRange(0, 40).Draw(rt, "tail"))
				var got []string
				l, got = mustOpen(t, m)
				if !slices.Equal(got, acked) {
					rt.Fatalf("replayed %q, acknowledged %q", got, acked)
				}
			default:
				p := fmt.Sprintf("frame %d", i)
				if l.Append([]byte(p)) == nil {
					acked = append(acked, p)
				}
			}
		}
	})
}

// Guards against a damaged snapshot that is read as an intact one, and against the loss of the
// previous snapshot when a crash interrupts the writing of a newer one.
func TestSnapshots(t *testing.T) {
	m := newMemFS()
	if err := storage.WriteSnapshot(m, dir, 7, []byte("seven")); err != nil {
		t.Fatal(err)
	}
	m.room = 3
	var write *storage.WriteError
	if err := storage.WriteSnapshot(m, dir, 9, []byte("nine")); !errors.As(err, &write) {
		t.Fatalf("full disk: %v", err)
	}
	after := m.crash(0)
	if data, err := storage.ReadSnapshot(after, dir, 7); err != nil || string(data) != "seven" {
		t.Fatalf("read %q, %v", data, err)
	}
	f := after.files[dir+"/snapshot-0000000000000007"]
	f.data[len(f.data)-1] ^= 1
	var corrupt *storage.CorruptError
	if _, err := storage.ReadSnapshot(after, dir, 7); !errors.As(err, &corrupt) {
		t.Fatalf("damaged snapshot: %v", err)
	}
}
