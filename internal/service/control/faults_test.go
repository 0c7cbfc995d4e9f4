package control_test

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/control"
	"briaryard/internal/service/controlclient"
	"briaryard/internal/storage"
)

// virtual runs a test in virtual time, which stands still while anything runs: time limits of
// the services are met exactly and cost no waiting. Such tests run beside each other.
func virtual(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, test)
}

// disk keeps what is written in memory until it is synced, so that a crash loses the rest.
type disk struct {
	storage.OS
	// fail lets every sync fail. forget lets the syncs of the log succeed without effect.
	fail, forget atomic.Bool
	// slow bounds the time of a sync, which is drawn at random.
	slow time.Duration
}

type diskFile struct {
	storage.File
	disk     *disk
	name     string
	unsynced []byte
}

func (d *disk) Create(name string) (storage.File, error) {
	f, err := d.OS.Create(name)
	return &diskFile{File: f, disk: d, name: name}, err
}

func (d *disk) Append(name string) (storage.File, error) {
	f, err := d.OS.Append(name)
	return &diskFile{File: f, disk: d, name: name}, err
}

// SyncDir implements storage.FS. Names are durable at once here.
func (d *disk) SyncDir(string) error { return nil }

func (f *diskFile) Write(p []byte) (int, error) {
	f.unsynced = append(f.unsynced, p...)
	return len(p), nil
}

func (f *diskFile) Sync() error {
	if f.disk.slow > 0 {
		time.Sleep(rand.N(f.disk.slow))
	}
	if f.disk.fail.Load() {
		return syscall.ENOSPC
	}
	if f.disk.forget.Load() && strings.Contains(f.name, "segment-") {
		return nil
	}
	_, err := f.File.Write(f.unsynced)
	f.unsynced = nil
	return err
}

// Close leaves half of what a failed sync did not write, as a torn tail.
func (f *diskFile) Close() error {
	if f.disk.fail.Load() && !f.disk.forget.Load() {
		_, _ = f.File.Write(f.unsynced[:len(f.unsynced)/2])
	}
	return f.File.Close()
}

func (g *group) useDisks(slow time.Duration) {
	for _, id := range g.initial {
		g.files[id] = &disk{slow: slow}
	}
}

func (g *group) disk(id model.InstanceID) *disk { return g.files[id].(*disk) }

// crash ends a voter without a message or a sync of what it still holds.
func (g *group) crash(id model.InstanceID) {
	v := g.voters[id]
	delete(g.voters, id)
	g.hub.leave(id)
	g.disk(id).fail.Store(true)
	_ = v.kernel.Stop(context.Background())
	g.files[id] = &disk{slow: g.disk(id).slow}
}

// restart starts a voter, with an empty folder if wiped.
func (g *group) restart(id model.InstanceID, wiped bool) {
	g.t.Helper()
	if wiped {
		if err := os.RemoveAll(filepath.Join(g.dir, string(id))); err != nil {
			g.t.Fatal(err)
		}
	}
	if err := g.start(id); err != nil {
		g.t.Fatal(err)
	}
}

// gate stops the control duty of a voter where it next converts a command, as a stop of its
// process would in the middle of its work.
type gate struct{ closed atomic.Pointer[chan struct{}] }

type gatedCodecs struct {
	control.WireCodecs
	gate *gate
}

func (w *gate) stop() {
	c := make(chan struct{})
	w.closed.Store(&c)
}

func (w *gate) resume() {
	if c := w.closed.Swap(nil); c != nil {
		close(*c)
	}
}

func (w *gate) wait() {
	if c := w.closed.Load(); c != nil {
		<-*c
	}
}

func (c gatedCodecs) EncodeCommand(command state.Command) ([]byte, error) {
	c.gate.wait()
	return c.WireCodecs.EncodeCommand(command)
}

func (c gatedCodecs) DecodeCommand(data []byte) (state.Command, error) {
	c.gate.wait()
	return c.WireCodecs.DecodeCommand(data)
}

// needLeader waits for a settled leader.
func (g *group) needLeader() *voter {
	g.t.Helper()
	var l *voter
	g.eventually("a leader", func() bool { l = g.leader(); return l != nil })
	return l
}

// remote starts the control client of an instance.
func (g *group) remote(id model.InstanceID) *controlclient.Remote {
	g.t.Helper()
	k := kernel.New(func(err error) { g.t.Error(err) })
	r := controlclient.NewRemote(g.log(), controlclient.RemoteOptions{Voters: g.initial, ConfirmWithin: port.ConfirmWithin})
	for _, s := range []kernel.Service{g.hub.join(id), r} {
		if err := k.Register(s); err != nil {
			g.t.Fatal(err)
		}
	}
	if err := k.Start(context.Background()); err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return r
}

// lossy returns a tap that loses a share of the messages that lose picks.
func lossy(seed uint64, lose func(body any) float64) func(from, to model.InstanceID, body any) any {
	var drawn atomic.Uint64
	return func(_, _ model.InstanceID, body any) any {
		if rand.New(rand.NewPCG(seed, drawn.Add(1))).Float64() < lose(body) {
			return nil
		}
		return body
	}
}
