package control_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/model"
	"briaryard/internal/service/control"
	"briaryard/internal/storage"
)

// fullDisk is a file system that refuses every write while it is full, after a part of what is written.
type fullDisk struct {
	storage.OS
	full atomic.Bool
	// creates refuses new files as well.
	creates bool
}

type fullDiskFile struct {
	storage.File
	disk *fullDisk
}

func (d *fullDisk) Create(name string) (storage.File, error) {
	if d.creates && d.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := d.OS.Create(name)
	return &fullDiskFile{f, d}, err
}

func (d *fullDisk) Append(name string) (storage.File, error) {
	f, err := d.OS.Append(name)
	return &fullDiskFile{f, d}, err
}

func (d *fullDisk) Rename(from, to string) error {
	if d.creates && d.full.Load() {
		return syscall.ENOSPC
	}
	return d.OS.Rename(from, to)
}

func (f *fullDiskFile) Write(p []byte) (int, error) {
	if !f.disk.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

// Guards against changes that are refused or stay unanswered after the disks of the members were full for a few
// seconds each, one after another, and have had room again for long.
func TestChangesAreAnsweredAfterTheDisksWereFullInTurn(t *testing.T) {
	for _, c := range []struct {
		learners int
		creates  bool
		// large makes the voters write snapshots meanwhile.
		large bool
	}{{0, false, false}, {0, true, false}, {0, false, true}, {1, true, true}, {2, false, true}, {2, true, false}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				g := newGroup(t, 3)
				ids := append([]model.InstanceID{}, g.initial...)
				for n := range c.learners {
					ids = append(ids, model.InstanceID(fmt.Sprint("v", 7+n)))
				}
				for _, id := range ids {
					g.files[id] = &fullDisk{creates: c.creates}
				}
				g.unattended = &control.Unattended{MayFoundGroup: true, Voters: 3, CompactBytes: 4 << 10, TrailingEntries: 4}
				g.startAll()
				client := g.client()
				client.targets = ids
				number := model.Revision(1)
				content := []byte("a")
				if c.large {
					content = []byte(strings.Repeat("a", 1500))
				}
				client.do(state.ReplaceConfig{Number: number, Content: content})
				g.unattended = &control.Unattended{Voters: 3, CompactBytes: 4 << 10, TrailingEntries: 4}
				for _, id := range ids[3:] {
					if err := g.start(id); err != nil {
						t.Fatal(err)
					}
				}
				seed := rand.New(rand.NewPCG(1, uint64(c.learners)))
				for range 4 {
					for _, n := range seed.Perm(len(ids)) {
						d := g.files[ids[n]].(*fullDisk)
						d.full.Store(true)
						for end := time.Now().Add(time.Duration(2+seed.IntN(3)) * time.Second); time.Now().Before(end); {
							number++
							_, _ = client.try(state.ReplaceConfig{Number: number, Content: content})
							time.Sleep(200 * time.Millisecond)
						}
						d.full.Store(false)
					}
				}
				// Ten seconds are more than the reopening of a folder and an election take.
				time.Sleep(10 * time.Second)
				number++
				r := client.do(state.ReplaceConfig{Number: number, Content: []byte("z")})
				if r.Err != nil || r.Revision != number {
					t.Errorf("change %d: %+v", number, r)
				}
				if r := client.do(state.ReadConfig{}); r.Revision != number || string(r.Changes[0].Content) != "z" {
					t.Errorf("revision %d is in force, want %d", r.Revision, number)
				}
				for _, id := range ids {
					if err := g.voters[id].service.Health(); err != nil {
						t.Errorf("%s: %v", id, err)
					}
				}
			})
		})
	}
}
