package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including suspended time, as an offset from the Unix epoch. Only
// differences between such times of one host are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it, the time since the configuration was last verified to be the newest
		// couldn't be relied on.
		panic("steady: read boot-time clock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
