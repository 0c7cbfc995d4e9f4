package trust

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// checkEvery bounds how often the files are looked at.
const checkEvery = time.Second

// Report receives the reason why changed files cannot be used. It never receives their content.
type Report func(path string, err error)

// watched is a value that is read from files, and read again when one of them has changed.
type watched[T any] struct {
	paths  []string
	read   func() (T, error)
	report Report

	mu      sync.Mutex
	current T
	loaded  bool
	// stamp and failed describe the files that were last read with and without success.
	stamp, failed string
	checked       time.Time
}

// watch reads the files for the first time.
func watch[T any](report Report, read func() (T, error), paths ...string) (*watched[T], error) {
	w := &watched[T]{paths: paths, read: read, report: report}
	_, err := w.get(time.Now())
	return w, err
}

// get returns the value of the files, or the last good one.
func (w *watched[T]) get(now time.Time) (T, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loaded && now.Sub(w.checked) < checkEvery {
		return w.current, nil
	}
	w.checked = now
	stamp, err := stampOf(w.paths)
	if err == nil && (!w.loaded || stamp != w.stamp) {
		var value T
		if value, err = w.read(); err == nil {
			w.current, w.loaded, w.stamp = value, true, stamp
		}
	}
	if !w.loaded {
		return w.current, err
	}
	if err != nil && w.report != nil && (stamp == "" || stamp != w.failed) {
		w.failed = stamp
		w.report(strings.Join(w.paths, ", "), err)
	}
	return w.current, nil
}

// stampOf changes when one of the files is written or replaced.
func stampOf(paths []string) (string, error) {
	var stamp strings.Builder
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return "", err
		}
		_, _ = fmt.Fprintf(&stamp, "%d/%d ", info.ModTime().UnixNano(), info.Size())
	}
	return stamp.String(), nil
}
