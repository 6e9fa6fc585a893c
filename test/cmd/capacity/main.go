// Command capacity measures resource usage per unit on one machine: the cost of one
// more link, account, cached KV block, plan row, claim, request or token. Costs of
// links, entries and tokens are the slope between two sizes, which excludes fixed
// costs.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rotisserie/eris"
)

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	only := flag.String("only", "", "one part: state, links, peers, work or platform")
	flag.Parse()
	log.SetHandler(discard.New())
	parts := []struct {
		name string
		run  func(bin string) error
	}{
		{"state", state},
		{"links", links},
		{"peers", peers},
		{"work", work},
		{"platform", platformCalls},
	}
	for _, part := range parts {
		if *only != "" && *only != part.name {
			continue
		}
		if err := part.run(*bin); err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", part.name+":", eris.ToString(err, false))
			os.Exit(1)
		}
	}
}

// printMeasurement prints one measured value.
func printMeasurement(name string, value float64, unit string) {
	fmt.Printf("%-46s %12.3f %s\n", name, value, unit)
}
