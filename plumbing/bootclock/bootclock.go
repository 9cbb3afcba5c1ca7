// Package bootclock reads a clock that keeps counting while the machine is
// suspended. Leases, staleness bounds and fences use it: the monotonic reading
// of time.Now stops during a suspension, so a lease would outlive its term.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is an instant, given as the time since boot. It is not comparable between
// machines.
type Time time.Duration

// Now returns the current instant.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Time(ts.Nano())
}

// Add returns the instant d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Since returns the time since t.
func Since(t Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t.
func Until(t Time) time.Duration { return t.Sub(Now()) }
