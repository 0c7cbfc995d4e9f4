package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Only readings of the same Clock can be compared.
type Clock func() time.Time

// Boot returns the time since the machine was booted, including the time for which it was
// suspended (CLOCK_BOOTTIME), as a time.Time without a monotonic reading. It is unrelated to the
// time of day and never goes back. It panics if the clock cannot be read.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
