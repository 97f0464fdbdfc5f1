package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since boot, including time in suspend. Lease expiry is measured by it, since the monotonic
// clock stops while the machine is suspended.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every kernel that Go supports has this clock
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
