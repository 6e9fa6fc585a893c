// Command recovery measures the time to recovery from each kind of fault, as
// observed by callers.
//
// It prints, for each fault and kind of call, the number of failed calls, the time
// from the start of the fault to the sending of the last failed call, and the
// verdicts of the failed calls, "cut" for a broken connection.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/test/faultproxy"
	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
)

const (
	// loadTime is how long the fleet settles before the load, and how long the load
	// runs before the fault; recoveryTime is how long it runs after the fault,
	// faultTime how long a fault with an end lasts.
	loadTime     = 3 * time.Second
	recoveryTime = 16 * time.Second
	faultTime    = 5 * time.Second
)

// fault is one kind of fault; end is nil for a fault that needs no
// action to end or lasts until the fleet is stopped.
type fault struct {
	name  string
	begin func(context.Context, *fleet.Fleet) error
	end   func(context.Context, *fleet.Fleet) error
}

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	only := flag.String("only", "", "one fault by name")
	flag.Parse()
	fmt.Printf("%-28s %6s %-9s %-22s %s\n", "fault", "calls", "failed", "last failed, s", "told")
	for _, f := range faults() {
		if *only != "" && f.name != *only {
			continue
		}
		if err := measure(*bin, f); err != nil {
			fmt.Fprintln(os.Stderr, "recovery:", f.name+":", eris.ToString(err, false))
			os.Exit(1)
		}
	}
}

func faults() []fault {
	return []fault{
		{name: "none", begin: noFault},
		{name: "sidecar of a service killed", begin: restart("holds-1")},
		{name: "sidecar of an engine killed", begin: restart("engine-1")},
		{name: "engine killed", begin: restart(fleet.BackendProcess("engine-1"))},
		{name: "sidecar paused 5 s", begin: pause("holds-1"), end: resume("holds-1")},
		{name: "entry paused 5 s", begin: pause("entry-1"), end: resume("entry-1")},
		{name: "link silent for good", begin: blackholeLinks},
		{name: "links cut 5 s", begin: setProxyMode(faultproxy.Mode{Cut: true}), end: setProxyMode(faultproxy.Mode{})},
		{name: "links one-way 5 s", begin: setProxyMode(faultproxy.Mode{DropToClient: true}), end: setProxyMode(faultproxy.Mode{})},
		{name: "store out 5 s", begin: setStoreFaults(objectstore.Faults{Unavailable: true}), end: setStoreFaults(objectstore.Faults{})},
		{name: "store loses replies 5 s", begin: setStoreFaults(objectstore.Faults{LoseReplies: true}), end: setStoreFaults(objectstore.Faults{})},
	}
}

func noFault(context.Context, *fleet.Fleet) error { return nil }

func restart(name string) func(context.Context, *fleet.Fleet) error {
	return func(_ context.Context, f *fleet.Fleet) error {
		f.Processes[name].Kill()
		return f.Processes[name].Restart()
	}
}

func pause(name string) func(context.Context, *fleet.Fleet) error {
	return func(_ context.Context, f *fleet.Fleet) error {
		f.Processes[name].Pause()
		return nil
	}
}

func resume(name string) func(context.Context, *fleet.Fleet) error {
	return func(_ context.Context, f *fleet.Fleet) error {
		f.Processes[name].Resume()
		return nil
	}
}

func blackholeLinks(_ context.Context, f *fleet.Fleet) error {
	f.Proxies["engine-1"].BlackholeExisting()
	f.Proxies["holds-1"].BlackholeExisting()
	return nil
}

func setProxyMode(m faultproxy.Mode) func(context.Context, *fleet.Fleet) error {
	return func(_ context.Context, f *fleet.Fleet) error {
		f.Proxies["engine-1"].Set(m)
		f.Proxies["holds-1"].Set(m)
		return nil
	}
}

func setStoreFaults(faults objectstore.Faults) func(context.Context, *fleet.Fleet) error {
	return func(ctx context.Context, f *fleet.Fleet) error { return f.SetPlatformFaults(ctx, faults) }
}

func measure(bin string, flt fault) error {
	o := fleet.Options{
		Bin: bin, Entries: 2, Proxied: true,
		Engines: []fleet.Engine{
			{Role: "mixed", Model: "draft", Fencing: true},
			{Role: "mixed", Model: "draft"},
			{Role: "mixed", Model: "draft", Fencing: true},
		},
		Services: map[string]int{"holds": 2},
	}
	return fleet.Run(o, func(ctx context.Context, f *fleet.Fleet) error {
		time.Sleep(loadTime)
		load := f.StartLoad()
		time.Sleep(loadTime)
		faultStart := time.Now()
		if err := flt.begin(ctx, f); err != nil {
			return err
		}
		if flt.end != nil {
			time.Sleep(faultTime)
			if err := flt.end(ctx, f); err != nil {
				return err
			}
		}
		time.Sleep(recoveryTime)
		printRows(flt.name, faultStart, load.Stop())
		return nil
	})
}

// printRows prints one row for each kind of call. Calls that ended before the fault
// are not counted.
func printRows(name string, faultStart time.Time, results []fleet.Result) {
	during := lo.Filter(results, func(r fleet.Result, _ int) bool { return r.Finished.After(faultStart) })
	for _, kind := range fleet.Kinds {
		calls := lo.Filter(during, func(r fleet.Result, _ int) bool { return r.Kind == kind })
		failed := lo.Filter(calls, func(r fleet.Result, _ int) bool { return !r.OK() })
		last := "-"
		if len(failed) > 0 {
			latest := lo.MaxBy(failed, func(a, b fleet.Result) bool { return a.Started.After(b.Started) })
			last = fmt.Sprintf("%.1f", latest.Started.Sub(faultStart).Seconds())
		}
		verdicts := lo.CountValuesBy(failed, func(r fleet.Result) string {
			return lo.Ternary(r.TransferErr != nil, "cut", r.Answer.Verdict)
		})
		fmt.Printf("%-28s %6d %-9s %-22s %v\n", name, len(calls), fmt.Sprintf("%s %d", kind, len(failed)), last, verdicts)
	}
}
