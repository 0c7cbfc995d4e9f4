package storage

import (
	"io"
	"os"
	"path/filepath"
)

// FS is the part of the file system that the package uses. Tests replace it to inject faults.
type FS interface {
	MkdirAll(dir string) error
	// Create creates or truncates a file for writing.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List returns the names of the files in a folder.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// Truncate shortens a file to a size in bytes and syncs it.
	Truncate(name string, size int64) error
	// SyncDir makes the directory entries of created, renamed and removed files durable.
	SyncDir(dir string) error
}

// File is a file open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// Truncate implements FS.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if err := f.Truncate(size); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// WriteAtomic replaces a file with the concatenated parts. After a crash the file has either the
// old or the new content.
func WriteAtomic(fs FS, name string, parts ...[]byte) error {
	return writeAtomic(fs, name, false, parts...)
}

// writeAtomic implements WriteAtomic. If syncEachPart is set it also syncs after each part, not
// only after the last one.
func writeAtomic(fs FS, name string, syncEachPart bool, parts ...[]byte) error {
	tmp := name + tempSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return &WriteError{File: tmp, Op: "create", Err: err}
	}
	for _, data := range parts {
		if _, err := f.Write(data); err != nil {
			_ = f.Close()
			return &WriteError{File: tmp, Op: "write", Err: err}
		}
		if !syncEachPart {
			continue
		}
		if err := f.Sync(); err != nil {
			_ = f.Close()
			return &WriteError{File: tmp, Op: "sync", Err: err}
		}
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return &WriteError{File: tmp, Op: "sync", Err: err}
	}
	if err := f.Close(); err != nil {
		return &WriteError{File: tmp, Op: "close", Err: err}
	}
	if err := fs.Rename(tmp, name); err != nil {
		return &WriteError{File: name, Op: "rename", Err: err}
	}
	if err := fs.SyncDir(filepath.Dir(name)); err != nil {
		return &WriteError{File: filepath.Dir(name), Op: "sync", Err: err}
	}
	return nil
}
