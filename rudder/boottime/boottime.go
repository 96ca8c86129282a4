// Package boottime reads a clock that goes on while the host is suspended. Rights that end by themselves (leases, the
// freshness of keys) are measured on it: the monotonic clock of package time stands still during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock, as time since the host booted. The zero value is before all readings.
type Instant time.Duration

// Now reads the clock. Where the kernel has no such clock it returns the monotonic one.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart)) + 1
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Sub returns the time between two readings.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the reading d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Since returns the time since a reading.
func Since(earlier Instant) time.Duration { return Now().Sub(earlier) }

// Clock gives the readings as times, for packages that measure with time.Time. Only differences have a meaning.
type Clock struct{}

// Now returns the reading as a time without a monotonic part.
func (Clock) Now() time.Time { return time.Unix(0, int64(Now())) }
