// Command capacity measures the slopes of docs/CAPACITY.md on one machine:
// what one more link, account, cached piece, plan row, claim, request or token
// costs. Each slope is the difference of two sizes, so that what is fixed
// falls out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/test/fleet"
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

// row prints one measured slope.
func row(name string, value float64, unit string) {
	fmt.Printf("%-46s %12.3f %s\n", name, value, unit)
}

// withFleet runs f on a fleet of its own.
func withFleet(o fleet.Options, f func(context.Context, *fleet.Fleet) error) error {
	ctx := context.Background()
	dir, err := os.MkdirTemp("", "pistachioroad-capacity-")
	if err != nil {
		return eris.Wrap(err, "folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o.Dir = dir
	fl, err := fleet.Start(ctx, o)
	if err != nil {
		return err
	}
	defer fl.Stop()
	return f(ctx, fl)
}
