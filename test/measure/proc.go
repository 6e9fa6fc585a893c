// Package measure reads what a process costs from the kernel's accounts.
package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the unit of processor time in /proc (USER_HZ on Linux).
const ticksPerSecond = 100

// Usage is what a process has used since its start.
type Usage struct {
	At       time.Time
	CPU      time.Duration
	Resident int64
	// Peak is the highest resident size in bytes.
	Peak    int64
	Threads int
}

// Read returns the present usage of a process.
func Read(pid int) (Usage, error) {
	cpu, err := processorTime(pid)
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "read usage")
	}
	const kilobyte = 1024
	return Usage{
		At:       time.Now(),
		CPU:      cpu,
		Resident: field(string(status), "VmRSS:") * kilobyte,
		Peak:     field(string(status), "VmHWM:") * kilobyte,
		Threads:  int(field(string(status), "Threads:")),
	}, nil
}

// Cores returns the cores in use between two readings.
func Cores(before, after Usage) float64 {
	return (after.CPU - before.CPU).Seconds() / after.At.Sub(before.At).Seconds()
}

func processorTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read usage")
	}
	// The name of the program stands in parentheses and may hold spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	const userField, systemField = 11, 12
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, eris.New("read usage: short stat line")
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

func field(status, name string) int64 {
	for line := range strings.Lines(status) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			value, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return value
		}
	}
	return 0
}
