package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the present time. Two readings of one Clock can be compared; readings of
// different clocks cannot.
type Clock func() time.Time

// Boot returns the time since the machine was started, with the time for which it was
// suspended, as a time.Time without a monotonic reading. It is unrelated to the time of day and
// never goes back.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
