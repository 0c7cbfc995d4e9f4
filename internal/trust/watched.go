package trust

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Report receives the reason why changed files cannot be loaded. It never receives their content.
type Report func(path string, err error)

// reloadable is a value that is loaded from files and reloaded when one of them has changed.
type reloadable[T any] struct {
	paths  []string
	read   func() (T, error)
	report Report

	mu      sync.Mutex
	current T
	loaded  bool
	// loadedStamp and failedStamp are the fileStamp of the files at the last successful load and
	// at the last reported failure.
	loadedStamp, failedStamp string
	checked                  time.Time
}

// newReloadable loads the value for the first time and fails if that is not possible.
func newReloadable[T any](report Report, read func() (T, error), paths ...string) (*reloadable[T], error) {
	r := &reloadable[T]{paths: paths, read: read, report: report}
	_, err := r.get(time.Now())
	return r, err
}

// get returns the value of the files, reloading it if they have changed. If that fails, it returns
// the value that was last loaded; an error is possible only before the first successful load.
func (r *reloadable[T]) get(now time.Time) (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && now.Sub(r.checked) < checkInterval {
		return r.current, nil
	}
	r.checked = now
	stamp, err := fileStamp(r.paths)
	if err == nil && (!r.loaded || stamp != r.loadedStamp) {
		var value T
		if value, err = r.read(); err == nil {
			r.current, r.loaded, r.loadedStamp = value, true, stamp
		}
	}
	if !r.loaded {
		return r.current, err
	}
	if err != nil && r.report != nil && (stamp == "" || stamp != r.failedStamp) {
		r.failedStamp = stamp
		r.report(strings.Join(r.paths, ", "), err)
	}
	return r.current, nil
}

// fileStamp returns a string of the modification times and sizes of the files. It changes when one
// of them is written or replaced.
func fileStamp(paths []string) (string, error) {
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
