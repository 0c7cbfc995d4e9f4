package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

const snapshotPrefix = "snapshot-"

// WriteSnapshot stores a snapshot under its index. Older ones stay until RemoveSnapshots.
func WriteSnapshot(fs FS, dir string, index uint64, data []byte) error {
	name := filepath.Join(dir, fmt.Sprintf("%s%016x", snapshotPrefix, index))
	head := frameHead(index, data)
	return WriteAtomic(fs, name, head[:], data)
}

// ReadSnapshot returns the snapshot with an index.
func ReadSnapshot(fs FS, dir string, index uint64) ([]byte, error) {
	path := filepath.Join(dir, fmt.Sprintf("%s%016x", snapshotPrefix, index))
	data, err := fs.ReadFile(path)
	if err != nil {
		return nil, &ReadError{File: path, Err: err}
	}
	number, payload, ok := parseFrame(data)
	if !ok || number != index || len(payload)+frameHeader != len(data) {
		return nil, &CorruptError{File: path, Reason: "the snapshot does not match its checksum"}
	}
	return payload, nil
}

// RemoveSnapshots removes all snapshots but the one with the index.
func RemoveSnapshots(fs FS, dir string, keep uint64) error {
	names, err := fs.List(dir)
	if err != nil {
		return &ReadError{File: dir, Err: err}
	}
	kept := fmt.Sprintf("%s%016x", snapshotPrefix, keep)
	names = slices.DeleteFunc(names, func(n string) bool { return !strings.HasPrefix(n, snapshotPrefix) || n == kept })
	for _, name := range names {
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return &WriteError{File: name, Op: "remove", Err: err}
		}
	}
	return nil
}
