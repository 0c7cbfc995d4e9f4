package control_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/service/control"
	"briaryard/internal/storage"
)

// latch blocks all goroutines that wait at it until it is opened. reached receives a value for each
// of them.
type latch struct {
	once    sync.Once
	opened  chan struct{}
	reached chan struct{}
}

func newLatch(t testing.TB) *latch {
	g := &latch{opened: make(chan struct{}), reached: make(chan struct{}, 1000)}
	t.Cleanup(g.open)
	return g
}

func (g *latch) open() { g.once.Do(func() { close(g.opened) }) }

func (g *latch) wait() {
	g.reached <- struct{}{}
	<-g.opened
}

// latchedFS blocks the syncs of snapshot files until its latch is opened.
type latchedFS struct {
	storage.OS
	latch *latch
}

type latchedFile struct {
	storage.File
	latch *latch
}

func (f latchedFS) Create(name string) (storage.File, error) {
	file, err := f.OS.Create(name)
	if err == nil && strings.HasPrefix(filepath.Base(name), "snapshot-") {
		return latchedFile{file, f.latch}, nil
	}
	return file, err
}

func (f latchedFile) Sync() error {
	f.latch.wait()
	return f.File.Sync()
}

// fullFS fails to write snapshot files with ENOSPC.
type fullFS struct{ storage.OS }

type fullFile struct{ storage.File }

func (f fullFS) Create(name string) (storage.File, error) {
	file, err := f.OS.Create(name)
	if err == nil && strings.HasPrefix(filepath.Base(name), "snapshot-") {
		return fullFile{file}, nil
	}
	return file, err
}

func (fullFile) Write([]byte) (int, error) { return 0, syscall.ENOSPC }

// latchedCodecs blocks the decoding of snapshots until its latch is opened.
type latchedCodecs struct {
	control.WireCodecs
	latch *latch
}

func (c latchedCodecs) DecodeSnapshot(data []byte, limits state.Limits) (*state.Machine, error) {
	c.latch.wait()
	return c.WireCodecs.DecodeSnapshot(data, limits)
}

// startLatched starts a voter whose decoding of snapshots is blocked by a latch.
func (g *group) startLatched(id model.InstanceID, l *latch) {
	g.t.Helper()
	v := &voter{id: id, folder: filepath.Join(g.dir, string(id)), kernel: kernel.New(func(err error) { g.t.Error(err) })}
	v.service = control.New(control.Settings{
		Self: id, Folder: v.folder, Initial: g.initial, Limits: state.DefaultLimits(), Files: g.files[id],
	}, latchedCodecs{latch: l}, noSessions{}, event.New(slog.New(slog.NewTextHandler(g.t.Output(), nil))))
	for _, s := range []kernel.Service{g.hub.join(id), v.service} {
		if err := v.kernel.Register(s); err != nil {
			g.t.Fatal(err)
		}
	}
	if err := v.kernel.Start(context.Background()); err != nil {
		g.t.Fatal(err)
	}
	g.voters[id] = v
	g.t.Cleanup(func() {
		l.open()
		if g.voters[id] == v {
			g.stop(id)
		}
	})
}

// Guards against appends that wait for the write of a snapshot file, and against a snapshot that
// replaces the log before its file is durable.
func TestClaimsAreAcknowledgedWhileASnapshotIsWritten(t *testing.T) {
	g := newGroup(t, 1)
	slow := newLatch(t)
	g.files["v0"] = latchedFS{latch: slow}
	prepareFolder(t, filepath.Join(g.dir, "v0"), 10_100)
	g.startAll()
	c := g.client()
	<-slow.reached
	for i := range 20 {
		if r := c.do(claim(-1 - i)); r.Claim != state.ClaimWon {
			t.Fatalf("claim %d while the file is written: %+v", i, r)
		}
	}
	names, _ := filepath.Glob(filepath.Join(g.dir, "v0", "segment-0000000000000001"))
	if len(names) != 1 {
		t.Fatal("the log was replaced before the snapshot was durable")
	}
	slow.open()
	g.eventually("the snapshot replaces the log", func() bool {
		old, _ := filepath.Glob(filepath.Join(g.dir, "v0", "segment-0000000000000001"))
		return len(old) == 0
	})
	g.stop("v0")
	if err := g.start("v0"); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		if r := c.do(state.Lookup{Key: claim(-1 - i).Key}); r.Claim != state.ClaimHeld {
			t.Fatalf("claim %d after the restart: %s", i, r.Claim)
		}
	}
}

// Guards against ticks and appends that wait for the decoding of a received snapshot, against a
// new leader that answers from the state before the snapshot, and against entries that are lost
// during the decoding.
func TestVotersTakePartWhileTheyDecodeASnapshot(t *testing.T) {
	g := newGroup(t, 1)
	limits := state.DefaultLimits()
	// The nine commands that create this state fit below the index of the prepared snapshot, which
	// is 10.
	limits.Claims, limits.Barriers, limits.TotalAnswerBytes = 4, 2, 1000
	prepareSnapshot(t, filepath.Join(g.dir, "v0"), fullSnapshot(t, limits))
	g.startAll()
	c := g.client()
	c.targets = []model.InstanceID{"v0", "v1", "v2"}
	slow := newLatch(t)
	for _, id := range []model.InstanceID{"v1", "v2"} {
		g.startLatched(id, slow)
		if err := c.changeVoters(add(id)); err != nil {
			t.Fatal(err)
		}
		<-slow.reached
	}
	g.eventually("both are voters before they have decoded", g.hasVoters("v0", "v1", "v2"))
	if r := c.do(claim(1)); r.Claim != state.ClaimWon {
		t.Fatalf("claim with the acknowledgement of a voter that decodes: %+v", r)
	}
	g.stop("v0")
	g.eventually("another leader", func() bool { return g.leader() != nil })
	leader := g.leader().id
	c.target.Store(&leader)
	old := state.Lookup{Key: claim(-2).Key}
	if r, ok := c.try(old); ok {
		t.Fatalf("answered %s before the snapshot was decoded", r.Claim)
	}
	slow.open()
	for _, key := range []model.KeyHash{old.Key, claim(1).Key} {
		if r := c.do(state.Lookup{Key: key}); r.Claim != state.ClaimHeld {
			t.Fatalf("the claim is %s", r.Claim)
		}
	}
}

// Guards against a voter that continues although the disk is full and its snapshot cannot be
// written, and against a log that is replaced by such a snapshot.
func TestFailedSnapshotFileStopsTheVoter(t *testing.T) {
	g := newGroup(t, 1)
	g.files["v0"] = fullFS{}
	prepareFolder(t, filepath.Join(g.dir, "v0"), 10_100)
	g.startAll()
	bad := g.voters["v0"].service
	g.eventually("the voter is unhealthy", func() bool {
		var failed *fault.VoterFailed
		return errors.As(bad.Health(), &failed) && errors.Is(failed, syscall.ENOSPC) && bad.Status().Role == consensus.Halted
	})
	g.stop("v0")
	delete(g.files, "v0")
	if err := g.start("v0"); err != nil {
		t.Fatal(err)
	}
	c := g.client()
	for _, i := range []int{0, 5000, 10_099} {
		if r := c.do(state.Lookup{Key: model.HashKey("team", fmt.Sprint(i))}); r.Claim != state.ClaimHeld {
			t.Fatalf("claim %d after the restart: %s", i, r.Claim)
		}
	}
}
