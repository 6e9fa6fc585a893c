// Package boottime reads a monotonic clock that includes the time during which
// the VM was suspended.
//
// The monotonic clock of the Go runtime stops during a suspension: with it, a
// process that was suspended for ten seconds would still consider a lease of
// three seconds valid. The wall clock may be set forwards or backwards.
package boottime

import (
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, including suspended time.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The maximum makes every lease expire if the clock cannot be read.
		log.WithField("error", err.Error()).Error("failed to read the boot-time clock")
		return 1<<63 - 1
	}
	return time.Duration(ts.Nano())
}
