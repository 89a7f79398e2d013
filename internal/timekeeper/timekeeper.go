// Package timekeeper reads the clock that goes on while a machine is suspended,
// by which every lease and freshness bound is judged.
//
// # Usage
//
//	now := timekeeper.Now()
//	expired := timekeeper.Now() >= now+lease
//
// The steady clock of package time stands still in a suspended machine and the
// time of day can jump; this one does neither.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's boot, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the system has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
