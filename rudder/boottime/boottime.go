// Package boottime reads a monotonic clock that includes the time in which the host is suspended (CLOCK_BOOTTIME). The
// remaining time of a lease and the time since the configuration was confirmed to be the newest are measured on it, because
// the monotonic clock of package time stops during suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock: the time since the host booted. The zero value is earlier than any reading.
type Instant time.Duration

// Now reads the clock. If the kernel has no CLOCK_BOOTTIME, it returns the monotonic time since the process started.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart)) + 1
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the reading d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Since returns the time that has passed since a reading.
func Since(earlier Instant) time.Duration { return Now().Sub(earlier) }

// Clock returns the readings as time.Time values for packages that measure with these. Only differences between them are
// meaningful.
type Clock struct{}

// Now returns the current reading as a time without a monotonic clock reading.
func (Clock) Now() time.Time { return time.Unix(0, int64(Now())) }
