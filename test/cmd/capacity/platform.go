package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/operator"
	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

const (
	platformEntries  = 12
	platformSidecars = 48
	outageTime       = 10 * time.Second
	configEdits      = 5
)

// platformCalls measures the platform calls of an idle fleet, after a restart of
// all sidecars, during an outage and after it, and the time until a change of the
// configuration is active in all processes.
func platformCalls(bin string) error {
	o := sidecarFleet(bin, platformEntries, platformSidecars)
	return fleet.Run(o, func(ctx context.Context, f *fleet.Fleet) error {
		time.Sleep(settleTime)
		if err := callsDuring(ctx, f, "calm", measureTime, func() error { return nil }); err != nil {
			return err
		}
		if err := callsDuring(ctx, f, "restart of all sidecars", measureTime, func() error { return restartSidecars(f) }); err != nil {
			return err
		}
		err := callsDuring(ctx, f, "outage", outageTime, func() error {
			return f.SetPlatformFaults(ctx, objectstore.Faults{Unavailable: true})
		})
		if err != nil {
			return err
		}
		err = callsDuring(ctx, f, "return from the outage", measureTime, func() error {
			return f.SetPlatformFaults(ctx, objectstore.Faults{})
		})
		if err != nil {
			return err
		}
		return configPropagation(ctx, f)
	})
}

func restartSidecars(f *fleet.Fleet) error {
	for _, name := range f.Services["holds"] {
		f.Processes[name].Kill()
		if err := f.Processes[name].Restart(); err != nil {
			return err
		}
	}
	return nil
}

// callsDuring runs do and prints the rates of platform calls during d, with the
// highest number in one second.
func callsDuring(ctx context.Context, f *fleet.Fleet, name string, d time.Duration, do func() error) error {
	begin, err := f.PlatformCalls(ctx)
	if err != nil {
		return err
	}
	if err := do(); err != nil {
		return err
	}
	last, peak := begin, 0
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now, err := f.PlatformCalls(ctx)
		if err != nil {
			return err
		}
		peak = max(peak, now.Total()-last.Total())
		last = now
	}
	per := func(after, before int) float64 { return float64(after-before) / d.Seconds() }
	fmt.Printf("platform calls, %s (%d entries, %d sidecars):\n", name, platformEntries, platformSidecars)
	printMeasurement("  reads", per(last.Reads, begin.Reads), "a second")
	printMeasurement("  writes", per(last.Writes, begin.Writes), "a second")
	printMeasurement("  watches begun", per(last.Watches, begin.Watches), "a second")
	printMeasurement("  watches waiting", float64(last.Waiting), "")
	printMeasurement("  VM list", per(last.StaleReads, begin.StaleReads), "a second")
	printMeasurement("  most in one second", float64(peak), "")
	return nil
}

// configPropagation edits the configuration and measures the time until every
// process has it.
func configPropagation(ctx context.Context, f *fleet.Fleet) error {
	longest := time.Duration(0)
	bytes := linkBytes(f)
	for i := range configEdits {
		begin := time.Now()
		version, err := editConfig(f, fmt.Sprintf("retry_share=0.0%d", i+1))
		if err != nil {
			return err
		}
		for !appliedEverywhere(f, version) {
			if time.Since(begin) > time.Minute {
				return eris.Errorf("version %d of the fleet config is not active in all processes after 1 min", version)
			}
		}
		longest = max(longest, time.Since(begin))
	}
	printMeasurement(fmt.Sprintf("config in force at %d processes, longest of %d", len(f.VMs), configEdits), longest.Seconds(), "s (looks included)")
	printMeasurement("link bytes per config change and process", (linkBytes(f)-bytes)/configEdits/float64(len(f.VMs)), "bytes (idle traffic included)")
	return ctx.Err()
}

func editConfig(f *fleet.Fleet, value string) (uint64, error) {
	if _, err := tool(f, "entry-1", "defaults", "set", value, "-author", "capacity"); err != nil {
		return 0, err
	}
	status, err := readStatus(f, "entry-1")
	if err != nil {
		return 0, err
	}
	for _, p := range status.Processes {
		if p.Name == "entry-1" {
			return p.Versions[fleetconfig.ObjectName], nil
		}
	}
	return 0, eris.New("status of entry-1 does not list entry-1")
}

// appliedEverywhere reports whether all processes in the status of the last entry
// have the version or a later one; those that report no versions are skipped. The
// last entry sees all sidecars, since here they are linked to all entries.
func appliedEverywhere(f *fleet.Fleet, version uint64) bool {
	status, err := readStatus(f, f.Entries[len(f.Entries)-1])
	if err != nil {
		return false
	}
	for _, p := range status.Processes {
		if len(p.Versions) > 0 && p.Versions[fleetconfig.ObjectName] < version {
			return false
		}
	}
	return true
}

func readStatus(f *fleet.Fleet, entry string) (operator.Status, error) {
	var status operator.Status
	output, err := tool(f, entry, "status", "-json")
	if err != nil {
		return status, err
	}
	return status, eris.Wrap(json.Unmarshal(output, &status), "decode status")
}

func tool(f *fleet.Fleet, entry string, args ...string) ([]byte, error) {
	output, err := f.Tool(context.Background(), entry, args...).Output()
	return output, eris.Wrapf(err, "pistachioroad %s", args[0])
}
