// Package clock implements catkinrail.Clock on the system's clocks.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System is a clock that starts at the wall clock's time and then advances with the
// time since boot. It never jumps, and it keeps running while the machine is suspended,
// so that a lease can't outlast a suspension.
type System struct {
	base time.Time
	boot time.Duration
}

// New returns a clock that starts at the wall clock's current time.
func New() *System {
	return &System{base: time.Now().Round(0), boot: sinceBoot()}
}

// Now implements catkinrail.Clock.
func (s *System) Now() time.Time {
	return s.base.Add(sinceBoot() - s.boot)
}

// Nanos returns Now in nanoseconds since the epoch.
func (s *System) Nanos() int64 {
	return s.base.UnixNano() + int64(sinceBoot()-s.boot)
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Wall is the system's wall clock, which may jump. Decisions compare it with a System clock
// to find out whether the machine was suspended.
type Wall struct{}

// Now implements catkinrail.Clock.
func (Wall) Now() time.Time {
	return time.Now().Round(0)
}
