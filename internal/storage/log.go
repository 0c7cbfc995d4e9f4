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

// Log is an append-only log of frames in segment files. Only Checkpoint starts a new segment, and
// its payload replaces everything before, so the newest segment with an intact first frame holds
// the whole state.
type Log struct {
	fs  FS
	dir string
	// nextFrame is the number of the next frame to write. A segment is named after the number of
	// its first frame.
	nextFrame uint64
	segments  []string
	file      File
	buf       []byte
	size      int64
	failure   error
}

// Open opens or creates the log in a folder and calls replay with each stored payload in order.
func Open(fs FS, dir string, replay func(payload []byte) error) (*Log, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, &WriteError{File: dir, Op: "create", Err: err}
	}
	names, err := fs.List(dir)
	if err != nil {
		return nil, &ReadError{File: dir, Err: err}
	}
	l := &Log{fs: fs, dir: dir, nextFrame: 1}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix):
			// Left over from a crash before the rename.
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
	return l, l.openNewestSegment()
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

func segmentName(first uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, first) }

func (l *Log) remove(name string) error {
	if err := l.fs.Remove(l.path(name)); err != nil {
		return &WriteError{File: l.path(name), Op: "remove", Err: err}
	}
	return nil
}

// replay reads the newest segment. If a crash interrupted the checkpoint that starts it, the
// segment is removed and the one before it is used.
func (l *Log) replay(replay func([]byte) error) error {
	for len(l.segments) > 0 {
		name := l.segments[len(l.segments)-1]
		data, err := l.fs.ReadFile(l.path(name))
		if err != nil {
			return &ReadError{File: l.path(name), Err: err}
		}
		if _, err := fmt.Sscanf(name, segmentPrefix+"%x", &l.nextFrame); err != nil {
			return &CorruptError{File: l.path(name), Reason: "its name holds no number"}
		}
		first, _, ok := parseFrame(data)
		if ok && first == l.nextFrame {
			return l.replaySegment(name, data, replay)
		}
		if hasLaterFrame(data, l.nextFrame) {
			return &CorruptError{File: l.path(name), Reason: "its first frame is damaged and not the last"}
		}
		if len(l.segments) == 1 {
			if l.nextFrame > 1 {
				// Earlier segments are removed only once the checkpoint is durable.
				return &CorruptError{File: l.path(name), Reason: "its checkpoint is damaged"}
			}
			return l.truncate(name, 0)
		}
		if err := l.remove(name); err != nil {
			return err
		}
		l.segments = l.segments[:len(l.segments)-1]
	}
	return nil
}

// replaySegment passes the payloads of a segment to replay and truncates a damaged last frame.
func (l *Log) replaySegment(name string, data []byte, replay func([]byte) error) error {
	for offset := 0; offset < len(data); {
		number, payload, ok := parseFrame(data[offset:])
		if !ok || number != l.nextFrame {
			if hasLaterFrame(data[offset:], l.nextFrame) {
				return &CorruptError{
					File: l.path(name), Offset: int64(offset),
					Reason: fmt.Sprintf("frame %d is damaged and not the last", l.nextFrame),
				}
			}
			return l.truncate(name, int64(offset))
		}
		if err := replay(payload); err != nil {
			return err
		}
		l.nextFrame++
		offset += frameHeaderSize + len(payload)
		l.size = int64(offset)
	}
	return nil
}

// truncate removes a damaged last frame, which was never acknowledged, by cutting the segment at
// offset.
func (l *Log) truncate(name string, offset int64) error {
	if err := l.fs.Truncate(l.path(name), offset); err != nil {
		return &WriteError{File: l.path(name), Op: "truncate", Err: err}
	}
	return nil
}

// openNewestSegment opens the newest segment for appending, or creates the first one.
func (l *Log) openNewestSegment() error {
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

// startSegment creates an empty segment named after the next frame and makes it the newest one.
func (l *Log) startSegment() error {
	name := segmentName(l.nextFrame)
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

// Append writes one frame and returns once it is durable. After a failure every further Append
// and Checkpoint returns FailedError.
func (l *Log) Append(payload []byte) error {
	if l.failure != nil {
		return &FailedError{Cause: l.failure}
	}
	path := l.path(l.segments[len(l.segments)-1])
	l.buf = appendFrame(l.buf[:0], l.nextFrame, payload)
	if _, err := l.file.Write(l.buf); err != nil {
		return l.setFailed(&WriteError{File: path, Op: "write", Err: err})
	}
	if err := l.file.Sync(); err != nil {
		return l.setFailed(&WriteError{File: path, Op: "sync", Err: err})
	}
	l.nextFrame++
	l.size += int64(len(l.buf))
	return nil
}

// Size returns the length of the newest segment in bytes.
func (l *Log) Size() int64 { return l.size }

// Checkpoint starts a new segment with a payload that replaces everything before it, and removes
// the earlier segments once the payload is durable. If the newest segment is empty, the payload
// is appended to it.
func (l *Log) Checkpoint(payload []byte) error {
	if l.failure != nil {
		return &FailedError{Cause: l.failure}
	}
	if l.size == 0 {
		return l.Append(payload)
	}
	obsolete := slices.Clone(l.segments)
	if err := l.startSegment(); err != nil {
		return l.setFailed(err)
	}
	if err := l.Append(payload); err != nil {
		return err
	}
	for _, name := range obsolete {
		if err := l.remove(name); err != nil {
			return l.setFailed(err)
		}
	}
	l.segments = l.segments[len(l.segments)-1:]
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.setFailed(&WriteError{File: l.dir, Op: "sync", Err: err})
	}
	return nil
}

// setFailed records err, so that all further writes are rejected, and returns it.
func (l *Log) setFailed(err error) error {
	l.failure = err
	return err
}

// Close closes the log's file.
func (l *Log) Close() error { return l.file.Close() }
