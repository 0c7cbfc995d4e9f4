package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

const snapshotPrefix = "snapshot-"

// syncChunkSize is the number of snapshot bytes written between two syncs. The sync of a log in the
// same folder waits for all data that the file system still has to write, so a snapshot of 15 MB
// synced at once would delay an append by the time to write it.
const syncChunkSize = 512 << 10

// WriteSnapshot stores a snapshot under its index. Older snapshots are kept until RemoveSnapshots
// is called. WriteSnapshot may run while another goroutine uses the Log of the same folder.
func WriteSnapshot(fs FS, dir string, index uint64, data []byte) error {
	header := encodeFrameHeader(index, data)
	parts := [][]byte{header[:]}
	for chunk := range slices.Chunk(data, syncChunkSize) {
		parts = append(parts, chunk)
	}
	return writeAtomic(fs, filepath.Join(dir, snapshotName(index)), true, parts...)
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// ReadSnapshot returns the snapshot with the given index, after checking its checksum.
func ReadSnapshot(fs FS, dir string, index uint64) ([]byte, error) {
	path := filepath.Join(dir, snapshotName(index))
	data, err := fs.ReadFile(path)
	if err != nil {
		return nil, &ReadError{File: path, Err: err}
	}
	number, payload, ok := parseFrame(data)
	if !ok || number != index || len(payload)+frameHeaderSize != len(data) {
		return nil, &CorruptError{File: path, Reason: "the snapshot does not match its checksum"}
	}
	return payload, nil
}

// RemoveSnapshots removes the snapshots with an index below keep, except for unfinished ones that
// still have their temporary name.
func RemoveSnapshots(fs FS, dir string, keep uint64) error {
	names, err := fs.List(dir)
	if err != nil {
		return &ReadError{File: dir, Err: err}
	}
	keepName := snapshotName(keep)
	for _, name := range names {
		// The index in a name has a fixed width, so the names sort in the order of the indexes.
		if !strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, tempSuffix) || name >= keepName {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return &WriteError{File: name, Op: "remove", Err: err}
		}
	}
	return nil
}
