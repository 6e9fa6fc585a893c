package main

import (
	"context"
	"fmt"
	"time"

	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/measure"
)

// idlePeriod is how long an idle fleet is measured.
const idlePeriod = 15 * time.Second

// idle measures the overhead of a fleet without requests: bytes on one link and to
// the platform, and CPU time and memory of each process.
func idle(bin string) error {
	o := oneEngine(bin)
	o.Proxied = true
	o.Services = map[string]int{"holds": 1}
	return fleet.Run(o, func(_ context.Context, f *fleet.Fleet) error {
		time.Sleep(warmUp)
		names := []string{"entry-1", "engine-1", "holds-1"}
		before := map[string]measure.Usage{}
		for _, name := range names {
			before[name], _ = measure.Read(f.Processes[name].PID())
		}
		up, down := f.Proxies["engine-1"].Bytes()
		platformUp, platformDown := f.Proxies["platform"].Bytes()
		time.Sleep(idlePeriod)
		upAfter, downAfter := f.Proxies["engine-1"].Bytes()
		platformUpAfter, platformDownAfter := f.Proxies["platform"].Bytes()

		seconds := idlePeriod.Seconds()
		fmt.Printf("\nidle, %v\n", idlePeriod)
		fmt.Printf("one link: %.0f bytes/s to the sidecar, %.0f to the entry\n",
			float64(upAfter-up)/seconds, float64(downAfter-down)/seconds)
		fmt.Printf("platform: %.0f bytes/s to it, %.0f from it, for %d processes\n",
			float64(platformUpAfter-platformUp)/seconds, float64(platformDownAfter-platformDown)/seconds, len(names))
		for _, name := range names {
			after, err := measure.Read(f.Processes[name].PID())
			if err != nil {
				return err
			}
			fmt.Printf("%-10s %.2f%% of a core, resident %.1f MB, %d threads\n",
				name, 100*measure.Cores(before[name], after), float64(after.ResidentBytes)/(1<<20), after.Threads)
		}
		return nil
	})
}
