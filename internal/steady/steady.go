package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, suspended time included, as an offset from the Unix epoch. Only
// differences between such times on one host mean anything.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; without it no age of a proof could be trusted.
		panic("steady: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
