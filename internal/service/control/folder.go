package control

import (
	"io/fs"
	"math/rand/v2"
	"path/filepath"

	"github.com/go-faster/errors"

	"briaryard/internal/decide/consensus"
	"briaryard/internal/fault"
	"briaryard/internal/model"
	"briaryard/internal/storage"
	"briaryard/internal/wire/consensuswire"
)

const identityFile = "identity"

// folder is an open data folder. It belongs to the sync duty, except that the snapshot duty writes
// the snapshot files.
type folder struct {
	files    storage.FS
	dir      string
	identity consensuswire.Identity
	log      *storage.Log
	// stored mirrors the durable records and is written by checkpoints. It shares its entries with
	// the node.
	stored consensus.Stored
}

// openFolder reads or creates a data folder and increments its start counter.
func openFolder(files storage.FS, dir string, self model.InstanceID) (*folder, error) {
	f := &folder{files: files, dir: dir}
	err := f.open(self)
	if err == nil {
		return f, nil
	}
	var foreign *fault.ForeignFolder
	if errors.As(err, &foreign) {
		return nil, err
	}
	return nil, &fault.UnusableFolder{Folder: dir, Err: err}
}

func (f *folder) open(self model.InstanceID) error {
	if err := f.files.MkdirAll(f.dir); err != nil {
		return err
	}
	data, err := f.files.ReadFile(filepath.Join(f.dir, identityFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		names, err := f.files.List(f.dir)
		if err != nil {
			return err
		}
		for _, name := range names {
			if name != identityFile+".tmp" {
				return &storage.CorruptError{File: filepath.Join(f.dir, identityFile), Reason: "it is missing, but the folder is not empty"}
			}
		}
		f.identity = newIdentity(self)
	case err != nil:
		return err
	default:
		if f.identity, err = consensuswire.DecodeIdentity(data); err != nil {
			return err
		}
		if f.identity.Instance != self {
			return &fault.ForeignFolder{Folder: f.dir, Owner: f.identity.Instance, Self: self}
		}
	}
	f.identity.Boots++
	if err := f.writeIdentity(); err != nil {
		return err
	}
	return f.openLog()
}

func newIdentity(self model.InstanceID) consensuswire.Identity {
	return consensuswire.Identity{Instance: self, Folder: rand.Uint64() | 1}
}

func (f *folder) writeIdentity() error {
	data, err := consensuswire.EncodeIdentity(f.identity)
	if err != nil {
		return err
	}
	return storage.WriteAtomic(f.files, filepath.Join(f.dir, identityFile), data)
}

func (f *folder) openLog() error {
	hasData := false
	log, err := storage.Open(f.files, f.dir, func(payload []byte) error {
		b, withData, err := consensuswire.DecodeBatch(payload)
		if err != nil {
			return err
		}
		if b.Snapshot != nil {
			hasData = withData
		}
		f.stored.Apply(b)
		return nil
	})
	if err != nil {
		return err
	}
	f.log = log
	if hasData {
		f.stored.Snapshot.Data, err = storage.ReadSnapshot(f.files, f.dir, f.stored.Snapshot.Index)
	}
	return err
}

// write makes a batch durable. A batch with a snapshot, whose file is already durable, starts a new
// log segment with the records that follow the snapshot, and older snapshot files are removed.
func (f *folder) write(b *consensus.Batch) error {
	f.stored.Apply(b)
	if b.Snapshot == nil {
		payload, err := consensuswire.EncodeBatch(b)
		if err != nil {
			return err
		}
		return f.log.Append(payload)
	}
	if err := f.checkpoint(); err != nil {
		return err
	}
	return storage.RemoveSnapshots(f.files, f.dir, f.stored.Snapshot.Index)
}

// checkpoint starts a new log segment that holds all stored records.
func (f *folder) checkpoint() error {
	payload, err := consensuswire.EncodeBatch(&consensus.Batch{
		Hard: &f.stored.Hard, Snapshot: &f.stored.Snapshot, Reset: true, Entries: f.stored.Entries,
	})
	if err != nil {
		return err
	}
	return f.log.Checkpoint(payload)
}

// clearFolder removes every file of a folder.
func clearFolder(files storage.FS, dir string) error {
	names, err := files.List(dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := files.Remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return files.SyncDir(dir)
}

// wipe removes all data and gives the folder a new identity. The identity is written first, so that
// a crash in between leaves a folder that already counts as another voter.
func (f *folder) wipe() error {
	_ = f.log.Close()
	f.identity = newIdentity(f.identity.Instance)
	f.identity.Boots = 1
	if err := f.writeIdentity(); err != nil {
		return err
	}
	names, err := f.files.List(f.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == identityFile {
			continue
		}
		if err := f.files.Remove(filepath.Join(f.dir, name)); err != nil {
			return err
		}
	}
	if err := f.files.SyncDir(f.dir); err != nil {
		return err
	}
	f.stored = consensus.Stored{}
	return f.openLog()
}
