// Package timekeeper reads a monotonic clock that also advances while the machine
// is suspended. All leases and freshness bounds are measured with it.
//
// # Usage
//
//	granted := timekeeper.Now()
//	expired := timekeeper.Now() >= granted+lease
//
// The monotonic clock of package time stops while the machine is suspended, and the
// wall clock can jump; this clock does neither.
package timekeeper

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time suspended. It panics
// if the system has no such clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME, which leases depend on: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d or until the context ends. Time for which the machine is suspended
// does not count.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
