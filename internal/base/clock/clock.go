// Package clock reads the clock that counts the time since the machine started.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started. Unlike Go's monotonic clock it runs on while
// the machine is suspended, and unlike the wall clock it is never stepped.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
