// Command bench measures the latency that an entry and a sidecar add to direct
// requests to the engine, both in one run, and the resource usage of the processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/test/fleet"
)

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	rate := flag.Float64("rate", 200, "requests a second")
	block := flag.Duration("block", 3*time.Second, "length of a block; direct and through take turns")
	blocks := flag.Int("blocks", 6, "blocks of each kind")
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	flag.Parse()
	if err := run(*bin, *rate, *block, *blocks, *seed); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", eris.ToString(err, false))
		os.Exit(1)
	}
}

// engineSlots exceeds the requests in flight, so that the measured latency includes
// no queue delay for a slot.
const engineSlots = 256

func run(bin string, rate float64, block time.Duration, blocks int, seed uint64) error {
	if err := latency(bin, rate, block, blocks, seed); err != nil {
		return err
	}
	return idle(bin)
}

// oneEngine returns the options of a fleet with an engine fast enough for the added
// latency to be measurable.
func oneEngine(bin string) fleet.Options {
	return fleet.Options{
		Bin:     bin,
		Entries: 1,
		ModifySettings: func(s *settings.Settings) {
			if s.Sidecar != nil {
				s.Sidecar.BackendServer.Slots = engineSlots
			}
		},
		Engines: []fleet.Engine{{
			Role: "mixed", Model: "draft", Fencing: true,
			Args: []string{"-slots", strconv.Itoa(engineSlots), "-prefill-rate", "10000000"},
		}},
	}
}
