package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since boot, including the time for which the machine was suspended. A lease is judged by
// it, since the steady clock stands still while the machine does.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every kernel that Go supports has this clock
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
