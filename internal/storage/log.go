package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

const (
	segmentPrefix = "segment-"
	tempSuffix    = ".tmp"
)

// Log is an append-only log of frames. Only Checkpoint begins a new segment, so the newest
// segment whose first frame is whole holds everything.
type Log struct {
	fs  FS
	dir string
	// number is that of the next frame; segments are named by their first frame.
	number   uint64
	segments []string
	file     File
	buf      []byte
	size     int64
	failed   error
}

// Open opens or creates the log in a folder and calls replay with each payload in order.
func Open(fs FS, dir string, replay func(payload []byte) error) (*Log, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, &WriteError{File: dir, Op: "create", Err: err}
	}
	names, err := fs.List(dir)
	if err != nil {
		return nil, &ReadError{File: dir, Err: err}
	}
	l := &Log{fs: fs, dir: dir, number: 1}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix):
			// Left by a crash before the rename.
			if err := l.remove(name); err != nil {
				return nil, err
			}
		case strings.HasPrefix(name, segmentPrefix):
			l.segments = append(l.segments, name)
		}
	}
	slices.Sort(l.segments)
	if err := l.replay(replay); err != nil {
		return nil, err
	}
	return l, l.openTail()
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

func segmentName(first uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, first) }

func (l *Log) remove(name string) error {
	if err := l.fs.Remove(l.path(name)); err != nil {
		return &WriteError{File: l.path(name), Op: "remove", Err: err}
	}
	return nil
}

// replay reads the newest segment. One whose checkpoint was not finished before a crash is
// removed, and the segment before it counts.
func (l *Log) replay(replay func([]byte) error) error {
	for len(l.segments) > 0 {
		name := l.segments[len(l.segments)-1]
		data, err := l.fs.ReadFile(l.path(name))
		if err != nil {
			return &ReadError{File: l.path(name), Err: err}
		}
		if _, err := fmt.Sscanf(name, segmentPrefix+"%x", &l.number); err != nil {
			return &CorruptError{File: l.path(name), Reason: "its name holds no number"}
		}
		first, _, whole := parseFrame(data)
		if whole && first == l.number {
			return l.replaySegment(name, data, replay)
		}
		if laterFrame(data, l.number) {
			return &CorruptError{File: l.path(name), Reason: "its first frame is damaged and not the last"}
		}
		if len(l.segments) == 1 {
			if l.number > 1 {
				// The segments before are removed only once the checkpoint is durable.
				return &CorruptError{File: l.path(name), Reason: "its checkpoint is damaged"}
			}
			return l.cut(name, 0)
		}
		if err := l.remove(name); err != nil {
			return err
		}
		l.segments = l.segments[:len(l.segments)-1]
	}
	return nil
}

func (l *Log) replaySegment(name string, data []byte, replay func([]byte) error) error {
	for offset := 0; offset < len(data); {
		number, payload, ok := parseFrame(data[offset:])
		if !ok || number != l.number {
			if laterFrame(data[offset:], l.number) {
				return &CorruptError{
					File: l.path(name), Offset: int64(offset),
					Reason: fmt.Sprintf("frame %d is damaged and not the last", l.number),
				}
			}
			return l.cut(name, int64(offset))
		}
		if err := replay(payload); err != nil {
			return err
		}
		l.number++
		offset += frameHeader + len(payload)
		l.size = int64(offset)
	}
	return nil
}

// cut removes a damaged last frame, which was never acknowledged.
func (l *Log) cut(name string, offset int64) error {
	if err := l.fs.Truncate(l.path(name), offset); err != nil {
		return &WriteError{File: l.path(name), Op: "truncate", Err: err}
	}
	return nil
}

func (l *Log) openTail() error {
	if len(l.segments) == 0 {
		return l.startSegment()
	}
	path := l.path(l.segments[len(l.segments)-1])
	f, err := l.fs.Append(path)
	if err != nil {
		return &WriteError{File: path, Op: "open", Err: err}
	}
	l.file = f
	return nil
}

func (l *Log) startSegment() error {
	name := segmentName(l.number)
	f, err := l.fs.Create(l.path(name))
	if err != nil {
		return &WriteError{File: l.path(name), Op: "create", Err: err}
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		_ = f.Close()
		return &WriteError{File: l.dir, Op: "sync", Err: err}
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.size = f, 0
	l.segments = append(l.segments, name)
	return nil
}

// Append writes one frame and returns once it is durable. After a failure the log refuses
// every further Append.
func (l *Log) Append(payload []byte) error {
	if l.failed != nil {
		return &FailedError{Cause: l.failed}
	}
	path := l.path(l.segments[len(l.segments)-1])
	l.buf = appendFrame(l.buf[:0], l.number, payload)
	if _, err := l.file.Write(l.buf); err != nil {
		return l.fail(&WriteError{File: path, Op: "write", Err: err})
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(&WriteError{File: path, Op: "sync", Err: err})
	}
	l.number++
	l.size += int64(len(l.buf))
	return nil
}

// Size returns the length of the newest segment.
func (l *Log) Size() int64 { return l.size }

// Checkpoint starts a new segment with a payload that stands for everything before, and removes
// the earlier segments once it is durable.
func (l *Log) Checkpoint(payload []byte) error {
	if l.failed != nil {
		return &FailedError{Cause: l.failed}
	}
	if l.size == 0 {
		return l.Append(payload)
	}
	earlier := slices.Clone(l.segments)
	if err := l.startSegment(); err != nil {
		return l.fail(err)
	}
	if err := l.Append(payload); err != nil {
		return err
	}
	for _, name := range earlier {
		if err := l.remove(name); err != nil {
			return l.fail(err)
		}
	}
	l.segments = l.segments[len(l.segments)-1:]
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail(&WriteError{File: l.dir, Op: "sync", Err: err})
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failed = err
	return err
}

// Close closes the log's file.
func (l *Log) Close() error { return l.file.Close() }
