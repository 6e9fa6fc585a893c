//go:build review

package standin2

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case. It returns how the rule was broken, nothing if it held, and an error if the
// case could not be played.
type play func(e *environment, trouble bool) (broken []string, err error)

var plays = map[string]play{
	"6": playExtraRefusal,
	"7": playPipelinedStop,
	"8": playAsterisk,
}

// TestMain makes the test binary the program of the scripts: names of the platform may stand in
// test files only.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "number of the case")
	program := flag.String("gateway", "target/pistachioroad-gateway", "program of the gateway")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	r := newRecorder()
	e, err := newEnvironment(*program, r)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	defer e.stop()
	if plays[*name] == nil {
		fmt.Println("not run: no such case")
		return exitNotRun
	}
	broken, err := plays[*name](e, *trouble != "0")
	for _, b := range broken {
		r.add("BROKEN: %s", b)
	}
	if writeErr := r.write(*path); writeErr != nil {
		fmt.Println("record not written:", writeErr)
	}
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
