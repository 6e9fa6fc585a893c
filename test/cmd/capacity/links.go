package main

import (
	"context"
	"fmt"
	"time"

	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/measure"
)

const (
	settleTime  = 6 * time.Second
	measureTime = 20 * time.Second
	fewLinks    = 6
	manyLinks   = 66
)

// idleCost is the resource usage of an idle process.
type idleCost struct {
	// resident is in bytes; linkBytesPerSecond counts both directions of all links
	// between processes.
	cores              float64
	resident           float64
	linkBytesPerSecond float64
}

// idleUsage measures an idle fleet and returns the mean cost of the named
// processes.
func idleUsage(f *fleet.Fleet, names []string) (idleCost, error) {
	time.Sleep(settleTime)
	before := map[string]measure.Usage{}
	for _, name := range names {
		usage, err := measure.Read(f.Processes[name].PID())
		if err != nil {
			return idleCost{}, err
		}
		before[name] = usage
	}
	bytes := linkBytes(f)
	time.Sleep(measureTime)
	var cost idleCost
	for _, name := range names {
		after, err := measure.Read(f.Processes[name].PID())
		if err != nil {
			return idleCost{}, err
		}
		cost.cores += measure.Cores(before[name], after) / float64(len(names))
		cost.resident += float64(after.ResidentBytes) / float64(len(names))
	}
	cost.linkBytesPerSecond = (linkBytes(f) - bytes) / measureTime.Seconds()
	return cost, nil
}

// linkBytes returns the bytes sent so far on all links between processes.
func linkBytes(f *fleet.Fleet) float64 {
	total := int64(0)
	for _, vm := range f.VMs {
		up, down := f.Proxies[vm.Name].Bytes()
		total += up + down
	}
	return float64(total)
}

func sidecarFleet(bin string, entries, count int) fleet.Options {
	return fleet.Options{
		Bin: bin, Entries: entries, Proxied: true, SharedBackends: true,
		Services: map[string]int{"holds": count},
	}
}

// links measures the cost of each sidecar link for an entry.
func links(bin string) error {
	few, err := entryCost(bin, fewLinks)
	if err != nil {
		return err
	}
	many, err := entryCost(bin, manyLinks)
	if err != nil {
		return err
	}
	per := func(a, b float64) float64 { return (b - a) / (manyLinks - fewLinks) }
	printMeasurement("entry, idle, no links (intercept)", 100*(few.cores-fewLinks*per(few.cores, many.cores)), "% of a core")
	printMeasurement("entry per link", 100*per(few.cores, many.cores), "% of a core")
	printMeasurement("entry, idle, no links (intercept)", (few.resident-fewLinks*per(few.resident, many.resident))/1e6, "MB resident")
	printMeasurement("entry per link", per(few.resident, many.resident)/1e3, "KB resident")
	printMeasurement("link, both ways", per(few.linkBytesPerSecond, many.linkBytesPerSecond), "bytes/s")
	printMeasurement(fmt.Sprintf("entry with %d links", manyLinks), many.resident/1e6, "MB resident")
	return nil
}

func entryCost(bin string, count int) (idleCost, error) {
	var cost idleCost
	err := fleet.Run(sidecarFleet(bin, 1, count), func(_ context.Context, f *fleet.Fleet) (err error) {
		cost, err = idleUsage(f, f.Entries)
		return err
	})
	return cost, err
}

// peers measures the cost of each entry for the sidecars and the other entries.
func peers(bin string) error {
	const few, many = 2, 26
	sidecarFew, entryFew, err := peerCost(bin, few)
	if err != nil {
		return err
	}
	sidecarMany, entryMany, err := peerCost(bin, many)
	if err != nil {
		return err
	}
	per := func(a, b float64) float64 { return (b - a) / (many - few) }
	printMeasurement("sidecar, idle, no links (intercept)", 100*(sidecarFew.cores-few*per(sidecarFew.cores, sidecarMany.cores)), "% of a core")
	printMeasurement("sidecar per link", 100*per(sidecarFew.cores, sidecarMany.cores), "% of a core")
	printMeasurement("sidecar, idle, no links (intercept)", (sidecarFew.resident-few*per(sidecarFew.resident, sidecarMany.resident))/1e6, "MB resident")
	printMeasurement("sidecar per link", per(sidecarFew.resident, sidecarMany.resident)/1e3, "KB resident")
	printMeasurement(fmt.Sprintf("entry among %d entries", few), 100*entryFew.cores, "% of a core")
	printMeasurement(fmt.Sprintf("entry among %d entries", many), 100*entryMany.cores, "% of a core")
	printMeasurement(fmt.Sprintf("gossip of one entry among %d", many), entryMany.linkBytesPerSecond/many, "bytes/s")
	return nil
}

// peerCost returns the mean cost of the sidecars and of the entries. The bytes of
// the latter are those between entries only.
func peerCost(bin string, entries int) (sidecar, entry idleCost, err error) {
	const count = 2
	err = fleet.Run(sidecarFleet(bin, entries, count), func(_ context.Context, f *fleet.Fleet) (err error) {
		if sidecar, err = idleUsage(f, f.Services["holds"]); err != nil {
			return err
		}
		before := entryBytes(f)
		entry, err = idleUsage(f, f.Entries)
		entry.linkBytesPerSecond = (entryBytes(f) - before) / (settleTime + measureTime).Seconds()
		return err
	})
	return sidecar, entry, err
}

func entryBytes(f *fleet.Fleet) float64 {
	total := int64(0)
	for _, name := range f.Entries {
		up, down := f.Proxies[name].Bytes()
		total += up + down
	}
	return float64(total)
}
