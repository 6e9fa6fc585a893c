// Command soak-processes runs seeded tests of real gateway processes under
// injected faults. It exits with 1 if one violates a guarantee or if a kind of
// fault never occurred.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"pistachioroad.dev/pistachioroad/test/soakproc"
)

func main() {
	bin := flag.String("bin", "bin", "`folder` of the programs")
	seed := flag.Uint64("seed", 1, "first seed")
	runs := flag.Int("runs", 8, "how many seeds")
	jobs := flag.Int("jobs", 4, "how many runs at once")
	storms := flag.String("storms", "", "play the retry storms whose names contain `text`, \"all\" for each, in place of the soak")
	concentration := flag.Float64("concentration", 0, "play `requests` a second of which most go to one gateway after a while, in place of the soak")
	stops := flag.Bool("stops", false, "play planned work only, with long requests, in place of the soak")
	flag.Parse()
	if *stops {
		os.Exit(playStops(*bin, *seed, *runs, *jobs))
	}
	if *storms != "" {
		os.Exit(playStorms(*storms, *bin, *seed, *runs, *jobs))
	}
	if *concentration > 0 {
		os.Exit(playConcentration(*concentration, *bin, *seed))
	}
	reports := make([]soakproc.Report, *runs)
	var group errgroup.Group
	group.SetLimit(*jobs)
	for i := range *runs {
		group.Go(func() error {
			dir, err := os.MkdirTemp("", "soak-")
			if err != nil {
				return err
			}
			path, err := filepath.Abs(*bin)
			if err != nil {
				return err
			}
			reports[i], err = soakproc.Run(*seed+uint64(i), path, dir)
			if err == nil && len(reports[i].Violations) == 0 {
				return os.RemoveAll(dir)
			}
			fmt.Printf("seed %d: logs in %s\n", *seed+uint64(i), dir)
			return err
		})
	}
	err := group.Wait()
	status := printReports(reports)
	if err != nil {
		fmt.Println("not all runs were complete:", err)
		status = 1
	}
	os.Exit(status)
}

// playConcentration plays most connections to one gateway and returns the exit status.
func playConcentration(perSecond float64, bin string, seed uint64) int {
	dir, err := os.MkdirTemp("", "concentration-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	path, err := filepath.Abs(bin)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	report, err := soakproc.RunConcentration(perSecond, seed, path, dir)
	if err != nil {
		fmt.Printf("logs in %s: %v\n", dir, err)
		return 1
	}
	fmt.Println(report)
	for _, v := range report.Violations {
		fmt.Println(v)
	}
	return min(1, len(report.Violations))
}

// playStorms plays each of the chosen storms with some seeds and returns the exit status.
func playStorms(chosen, bin string, seed uint64, runs, jobs int) int {
	var group errgroup.Group
	group.SetLimit(jobs)
	var status atomic.Int32
	for _, s := range soakproc.Storms {
		if chosen != "all" && !strings.Contains(s.Name, chosen) {
			continue
		}
		for i := range runs {
			group.Go(func() error {
				if err := playStorm(s, bin, seed+uint64(i), &status); err != nil {
					return fmt.Errorf("%s, seed %d: %w", s.Name, seed+uint64(i), err)
				}
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		fmt.Println("not all storms were played:", err)
		return 1
	}
	return int(status.Load())
}

// playStorm plays a storm and prints its report. It sets status to 1 if a guarantee was
// violated.
func playStorm(s soakproc.Storm, bin string, seed uint64, status *atomic.Int32) error {
	dir, err := os.MkdirTemp("", "storm-")
	if err != nil {
		return err
	}
	path, err := filepath.Abs(bin)
	if err != nil {
		return err
	}
	report, err := soakproc.RunStorm(s, seed, path, dir)
	if err != nil {
		return err
	}
	fmt.Println(report)
	if len(report.Violations) == 0 {
		return os.RemoveAll(dir)
	}
	status.Store(1)
	for _, v := range report.Violations {
		fmt.Println("  " + v)
	}
	fmt.Println("  logs in", dir)
	return nil
}

// printReports prints the reports and returns the exit status.
func printReports(reports []soakproc.Report) int {
	status := 0
	total := map[string]int{}
	for _, r := range reports {
		fmt.Printf("seed %d: answers %v, taken up %v, retry budget used %.2f, store came back %d times, %d breaches\n", r.Seed, r.Answers, r.TakeUps, r.RetriesUsed, r.Returns, len(r.Violations))
		for _, b := range r.Violations {
			fmt.Println("  " + b)
			status = 1
		}
		for name, n := range r.Faults {
			total[name] += n
		}
	}
	for _, name := range soakproc.FaultNames() {
		fmt.Printf("%5d %s\n", total[name], name)
		if total[name] == 0 {
			status = 1
		}
	}
	return status
}
