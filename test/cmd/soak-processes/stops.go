package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sync/errgroup"

	"pistachioroad.dev/pistachioroad/test/soakproc"
)

// playStops plays planned work with some seeds, prints the violations and a table of all
// endings, and returns the exit status.
func playStops(bin string, seed uint64, runs, jobs int) int {
	path, err := filepath.Abs(bin)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	var mu sync.Mutex
	status := 0
	total, planned := soakproc.StopEndings{}, map[string]int{}
	var group errgroup.Group
	group.SetLimit(jobs)
	for i := range runs {
		group.Go(func() error {
			dir, err := os.MkdirTemp("", "stops-")
			if err != nil {
				return err
			}
			report, err := soakproc.RunStops(seed+uint64(i), path, dir)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return fmt.Errorf("seed %d, logs in %s: %w", report.Seed, dir, err)
			}
			fmt.Printf("seed %d: %d violations, without a whole answer and excused %v, longest standstill %v\n", report.Seed, len(report.Violations), report.Excused, report.Standstill)
			for _, v := range report.Violations {
				fmt.Println("  " + v)
			}
			addEndings(total, report.Endings)
			for name, n := range report.Planned {
				planned[name] += n
			}
			if len(report.Violations) == 0 {
				return os.RemoveAll(dir)
			}
			fmt.Println("  logs in", dir)
			status = 1
			return nil
		})
	}
	err = group.Wait()
	fmt.Println("planned work:", planned)
	printEndings(total)
	if err != nil {
		fmt.Println("not all runs were complete:", err)
		status = 1
	}
	return status
}

func addEndings(total, endings soakproc.StopEndings) {
	for second, counts := range endings {
		if total[second] == nil {
			total[second] = map[string]int{}
		}
		for name, n := range counts {
			total[second][name] += n
		}
	}
}

// printEndings prints a row for each second of the stops.
func printEndings(total soakproc.StopEndings) {
	fmt.Printf("%-10s", "second")
	for _, name := range soakproc.StopEndingNames {
		fmt.Printf("%24s", name)
	}
	fmt.Println()
	for second := -1; second < 10; second++ {
		if total[second] == nil {
			continue
		}
		row := fmt.Sprint(second)
		if second < 0 {
			row = "no stop"
		}
		fmt.Printf("%-10s", row)
		for _, name := range soakproc.StopEndingNames {
			fmt.Printf("%24d", total[second][name])
		}
		fmt.Println()
	}
}
