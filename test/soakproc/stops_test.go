package soakproc

import (
	"errors"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// stopSeeds are fixed. With 1 to 6, a gateway once passed on requests late in its stop that the
// end of the process cut; with 3, 20027 and 20035, a process ran beyond its grace period.
var stopSeeds = []uint64{1, 2, 3, 4, 5, 6, 20027, 20035}

// Guards against requests that are cut by a stop, a reload or a change of the configuration,
// and against false rejections of requests that ran.
func TestPlannedWorkLosesNoRequest(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "pistachioroad.dev/pistachioroad/cmd/pistachioroad-gateway")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, seed := range stopSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			report, err := RunStops(seed, bin, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range report.Violations {
				t.Errorf("seed %d: %s", seed, v)
			}
			if report.Endings[-1][endingServed] == 0 || report.Endings[0][endingServed] == 0 {
				t.Errorf("seed %d: nothing was served: %v", seed, report.Endings)
			}
		})
	}
}

// Guards against a check that excuses requests which a stop has cut.
func TestCutRequestsAreJudged(t *testing.T) {
	g := &gateway{}
	began := time.Unix(1000, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	s := &stops{
		timeouts: map[string]*routeTimeouts{"archive": {changes: []timeoutChange{{at: at(-60_000), timeout: 12 * time.Second}}}},
		done:     []stopOf{{gateway: g, began: began, ended: at(7600)}},
	}
	for _, c := range []struct {
		name                 string
		sent, ended, spellTo int
		passedOn, violation  bool
	}{
		{"passed on late and cut at the end", 3100, 7600, 7600, true, true},
		{"sent early, server at work at the end", 2900, 7600, 7600, true, false},
		{"sent before the stop, server at work at the end", -2000, 7600, 7600, true, false},
		{"cut before the last sixth", 500, 6500, 6500, true, true},
		{"server was done long before", 500, 7600, 5000, true, true},
		{"its timeout was reached", -8000, 4000, 4000, true, false},
		{"crossed the close", 3000, 3100, 0, false, false},
		{"not passed on, held and closed", 3000, 3300, 0, false, true},
	} {
		call := &stopCall{route: stopRoute{name: "archive"}, gateway: g, timeout: 15 * time.Second, began: at(c.sent), sent: at(c.sent), ended: at(c.ended), err: errors.New("EOF")}
		var spells []runner.Spell
		if c.passedOn {
			spells = append(spells, runner.Spell{Began: at(c.sent), Ended: at(c.spellTo)})
		}
		if violation, excuse := s.judge(call, c.passedOn, spells); (violation != "") != c.violation {
			t.Errorf("%s: violation %q, excuse %q", c.name, violation, excuse)
		}
	}
}
