// Command soak simulates seeded random runs of the state machines. It exits with 1
// at the first violated invariant, after printing the seed and a short trace, or if
// a kind of fault or verdict never occurred.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"pistachioroad.dev/pistachioroad/test/soak"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the first run")
	runs := flag.Int("runs", 20, "runs, each with the next seed")
	flag.Parse()
	log.SetHandler(discard.New())

	batch := soak.NewBatch()
	for i := range *runs {
		report := soak.Run(*seed + uint64(i))
		fmt.Println(report.Summary())
		if report.Violation != "" {
			for _, line := range report.Trace {
				fmt.Println("  " + line)
			}
			os.Exit(1)
		}
		batch.Add(report)
	}
	fmt.Println(batch.Summary())
	if missing := batch.Missing(); len(missing) > 0 {
		fmt.Println("never exercised:", missing)
		os.Exit(1)
	}
}
