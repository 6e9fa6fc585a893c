// Command pistachioroadd is the pistachioroad daemon. It runs as an entry, which accepts
// callers' requests, or as the sidecar of a backend server.
//
//	pistachioroadd -settings entry.yaml
//	pistachioroadd -settings sidecar.yaml -check
//
// The exit status is 0 after a graceful shutdown (SIGTERM or SIGINT) or a successful
// check, 1 after a failure, and 2 if the command line or the settings are invalid.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	_ "runtime/cgo" // links the C library, as on all VMs
	"runtime/debug"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/entry"
	"pistachioroad.dev/pistachioroad/internal/membudget"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sidecar"
	"pistachioroad.dev/pistachioroad/internal/signals"
)

// The exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

func run() int {
	received := signals.Receive()
	path := flag.String("settings", "", "settings `file` in YAML")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *check {
		fmt.Println(*path + ": ok")
		return exitOK
	}
	setUpLog(s)
	limitProcessors(s)
	debug.SetMemoryLimit(membudget.PlanFor(s.Process.MemoryBytes, 1).Heap)
	received.IgnoreReload()
	return serve(received.Stop, s)
}

// limitProcessors limits GOMAXPROCS to the configured number of processors, unless the
// environment sets it. The work consists of many short hand-overs between goroutines. If
// they are spread over all processors of a large VM, each wakes up another processor, which
// costs a third more CPU time and increases the tail latency of the first token.
func limitProcessors(s settings.Settings) {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), s.Process.Processors))
	}
}

// serve runs the configured role until ctx is done. It returns the exit status.
func serve(ctx context.Context, s settings.Settings) int {
	if err := runRole(ctx, s); err != nil {
		log.WithError(err).Error("process failed")
		return exitFailed
	}
	return exitOK
}

func runRole(ctx context.Context, s settings.Settings) error {
	switch s.Process.Role {
	case settings.RoleEntry:
		return entry.Run(ctx, s)
	case settings.RoleSidecar:
		return sidecar.Run(ctx, s)
	default:
		return eris.Errorf("unknown role %q", s.Process.Role)
	}
}

// setUpLog configures the format and level of the log.
func setUpLog(s settings.Settings) {
	log.SetHandler(json.New(os.Stderr))
	if s.Log.Format == "text" {
		log.SetHandler(text.New(os.Stderr))
	}
	log.SetLevelFromString(s.Log.Level)
	log.Log = log.Log.WithField("process", s.Process.Name)
}
