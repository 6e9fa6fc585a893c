// Package seeded runs the rapid tests of a package with a fixed seed, unless the
// command line sets another.
package seeded

import (
	"flag"
	"strconv"
	"testing"

	// Registers the rapid flags, which Run sets.
	_ "pgregory.net/rapid"
)

// RapidOptions is the number of checks and steps of rapid; 0 selects rapid's default.
type RapidOptions struct {
	Checks int
	Steps  int
}

// Run runs the tests from the TestMain of a package and returns the exit code.
// Flags on the command line, such as -rapid.seed, take precedence.
func Run(m *testing.M, r RapidOptions) int {
	setFlag("rapid.seed", 1)
	setFlag("rapid.checks", r.Checks)
	setFlag("rapid.steps", r.Steps)
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	return m.Run()
}

func setFlag(name string, value int) {
	if value != 0 {
		_ = flag.Set(name, strconv.Itoa(value))
	}
}
