package storage_test

import (
	"bytes"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"briaryard/internal/storage"
)

// memFS is a file system in memory. A simulated crash keeps the synced data and a chosen number of
// the unsynced bytes.
type memFS struct {
	files map[string]*memFile
	// durable holds the directory entries that survive a crash.
	durable map[string]*memFile
	// syncError makes every sync fail. room is the free space on the disk, in bytes.
	syncError error
	room      int
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, room: 1 << 30}
}

// crash returns the file system after a power failure: up to tail unsynced bytes of each file
// survive, and the last of them is corrupted.
func (m *memFS) crash(tail int) *memFS {
	after := newMemFS()
	for name, f := range m.durable {
		data := bytes.Clone(f.synced)
		if unsynced := f.data[min(len(f.synced), len(f.data)):]; len(unsynced) > 0 && tail > 0 {
			data = append(data, unsynced[:min(tail, len(unsynced))]...)
			data[len(data)-1] ^= 0x55
		}
		after.files[name] = &memFile{fs: after, data: data, synced: bytes.Clone(data)}
	}
	after.durable = maps.Clone(after.files)
	return after
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(name string) (storage.File, error) {
	m.files[name] = &memFile{fs: m}
	return m.files[name], nil
}

func (m *memFS) Append(name string) (storage.File, error) {
	if f, ok := m.files[name]; ok {
		return f, nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if f, ok := m.files[name]; ok {
		return bytes.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) List(dir string) ([]string, error) {
	var out []string
	for name := range m.files {
		if strings.HasPrefix(name, dir+"/") {
			out = append(out, filepath.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

func (m *memFS) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error { delete(m.files, name); return nil }

func (m *memFS) Truncate(name string, size int64) error {
	f := m.files[name]
	f.data = f.data[:size]
	return f.Sync()
}

func (m *memFS) SyncDir(string) error { m.durable = maps.Clone(m.files); return m.syncError }

func (f *memFile) Write(p []byte) (int, error) {
	n := min(len(p), f.fs.room)
	f.fs.room -= n
	f.data = append(f.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *memFile) Sync() error {
	if f.fs.syncError != nil {
		return f.fs.syncError
	}
	f.synced = bytes.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
