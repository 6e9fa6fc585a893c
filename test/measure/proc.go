// Package measure reads the resource usage of processes from /proc.
package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the resolution of CPU times in /proc (USER_HZ on Linux).
const ticksPerSecond = 100

// Usage is the resource usage of a process since its start.
type Usage struct {
	MeasuredAt    time.Time
	CPU           time.Duration
	ResidentBytes int64
	// PeakResidentBytes is the highest resident size so far.
	PeakResidentBytes int64
	Threads           int
}

// Read returns the current usage of a process.
func Read(pid int) (Usage, error) {
	cpu, err := cpuTime(pid)
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "read process status")
	}
	const kilobyte = 1024
	return Usage{
		MeasuredAt:        time.Now(),
		CPU:               cpu,
		ResidentBytes:     statusField(string(status), "VmRSS:") * kilobyte,
		PeakResidentBytes: statusField(string(status), "VmHWM:") * kilobyte,
		Threads:           int(statusField(string(status), "Threads:")),
	}, nil
}

// Cores returns the mean number of cores used between two readings.
func Cores(before, after Usage) float64 {
	return (after.CPU - before.CPU).Seconds() / after.MeasuredAt.Sub(before.MeasuredAt).Seconds()
}

func cpuTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read CPU time")
	}
	// The program's name is in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	const userField, systemField = 11, 12
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, eris.Errorf("read usage: /proc/%d/stat has only %d fields after the program name", pid, len(fields))
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

func statusField(status, name string) int64 {
	for line := range strings.Lines(status) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			value, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return value
		}
	}
	return 0
}
