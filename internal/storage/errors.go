package storage

import "fmt"

// CorruptError reports damage to data that may have been acknowledged.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("file %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// WriteError reports a failed write or sync, for example on a full disk.
type WriteError struct {
	File, Op string
	Err      error
}

func (e *WriteError) Error() string { return fmt.Sprintf("cannot %s %s: %v", e.Op, e.File, e.Err) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// ReadError reports a file that cannot be read.
type ReadError struct {
	File string
	Err  error
}

func (e *ReadError) Error() string { return fmt.Sprintf("cannot read %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// FailedError reports a write that a log rejected because an earlier write failed.
type FailedError struct{ Cause error }

func (e *FailedError) Error() string { return "the log failed earlier: " + e.Cause.Error() }

// Unwrap returns the earlier failure.
func (e *FailedError) Unwrap() error { return e.Cause }
