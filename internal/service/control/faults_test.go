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

// inVirtualTime runs a test in a synctest bubble, in parallel with other tests. Its clock advances
// only while all goroutines of the test are blocked, so the time limits of the services are met
// exactly and waiting costs no real time.
func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, test)
}

// disk is a file system that keeps written data in memory until it is synced, so that a crash loses
// what was not synced.
type disk struct {
	storage.OS
	// failSyncs makes every sync fail. dropSyncs makes the syncs of the log succeed without effect.
	failSyncs, dropSyncs atomic.Bool
	// maxSyncTime bounds the random duration of a sync.
	maxSyncTime time.Duration
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

// SyncDir implements storage.FS. File names are durable at once on this disk.
func (d *disk) SyncDir(string) error { return nil }

func (f *diskFile) Write(p []byte) (int, error) {
	f.unsynced = append(f.unsynced, p...)
	return len(p), nil
}

func (f *diskFile) Sync() error {
	if f.disk.maxSyncTime > 0 {
		time.Sleep(rand.N(f.disk.maxSyncTime))
	}
	if f.disk.failSyncs.Load() {
		return syscall.ENOSPC
	}
	if f.disk.dropSyncs.Load() && strings.Contains(f.name, "segment-") {
		return nil
	}
	_, err := f.File.Write(f.unsynced)
	f.unsynced = nil
	return err
}

// Close writes half of the data that a failed sync did not write, as a torn tail.
func (f *diskFile) Close() error {
	if f.disk.failSyncs.Load() && !f.disk.dropSyncs.Load() {
		_, _ = f.File.Write(f.unsynced[:len(f.unsynced)/2])
	}
	return f.File.Close()
}

func (g *group) useDisks(maxSyncTime time.Duration) {
	for _, id := range g.initial {
		g.files[id] = &disk{maxSyncTime: maxSyncTime}
	}
}

func (g *group) disk(id model.InstanceID) *disk { return g.files[id].(*disk) }

// crash stops a voter without further messages and without a sync of unsynced data.
func (g *group) crash(id model.InstanceID) {
	v := g.voters[id]
	delete(g.voters, id)
	g.hub.leave(id)
	g.disk(id).failSyncs.Store(true)
	_ = v.kernel.Stop(context.Background())
	g.files[id] = &disk{maxSyncTime: g.disk(id).maxSyncTime}
}

// restart starts a voter; if wiped is set, its folder is removed first.
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

// gate blocks the control duty of a voter when it next encodes or decodes a command, like a process
// that is suspended in the middle of its work.
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

// waitForLeader waits for a settled leader.
func (g *group) waitForLeader() *voter {
	g.t.Helper()
	var l *voter
	g.eventually("a leader", func() bool { l = g.leader(); return l != nil })
	return l
}

// startRemote starts an instance with a control client.
func (g *group) startRemote(id model.InstanceID) *controlclient.Remote {
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

// lossy returns an intercept function that drops each message with the probability that lossRate
// returns.
func lossy(seed uint64, lossRate func(body any) float64) func(from, to model.InstanceID, body any) any {
	var draws atomic.Uint64
	return func(_, _ model.InstanceID, body any) any {
		if rand.New(rand.NewPCG(seed, draws.Add(1))).Float64() < lossRate(body) {
			return nil
		}
		return body
	}
}
