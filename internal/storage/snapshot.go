package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

const snapshotPrefix = "snapshot-"

// partBytes is how much of a snapshot is written between two syncs. The sync of a log in the same
// folder waits for what the file system has to write at that time, so that a snapshot of 15 MB that
// is synced at once would delay an append by as much.
const partBytes = 512 << 10

// WriteSnapshot stores a snapshot under its index. Older ones stay until RemoveSnapshots. It may
// be called while another thread uses the folder's Log.
func WriteSnapshot(fs FS, dir string, index uint64, data []byte) error {
	head := frameHead(index, data)
	parts := [][]byte{head[:]}
	for part := range slices.Chunk(data, partBytes) {
		parts = append(parts, part)
	}
	return writeAtomic(fs, filepath.Join(dir, snapshotName(index)), true, parts...)
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// ReadSnapshot returns the snapshot with an index.
func ReadSnapshot(fs FS, dir string, index uint64) ([]byte, error) {
	path := filepath.Join(dir, snapshotName(index))
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

// RemoveSnapshots removes the snapshots that are older than the one with the index. One that is
// being written stays.
func RemoveSnapshots(fs FS, dir string, keep uint64) error {
	names, err := fs.List(dir)
	if err != nil {
		return &ReadError{File: dir, Err: err}
	}
	kept := snapshotName(keep)
	for _, name := range names {
		// The names of indexes are equally long and therefore in the order of the indexes.
		if !strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, tempSuffix) || name >= kept {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return &WriteError{File: name, Op: "remove", Err: err}
		}
	}
	return nil
}
