// Package boottime reads the clock that goes on while a VM is suspended.
//
// The steady clock of the language's runtime stands still meanwhile: a process
// that was suspended for ten seconds would believe a lease of three seconds to
// be valid still. The time of day may be set in either direction.
package boottime

import (
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was started, suspended time included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// A clock that cannot be read must not keep a lease valid.
		log.WithField("error", err.Error()).Error("boot-time clock not readable")
		return 1<<63 - 1
	}
	return time.Duration(ts.Nano())
}
