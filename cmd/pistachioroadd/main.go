// Command pistachioroadd is the daemon of pistachioroad. It runs as an entry,
// which takes the callers' requests, or as the sidecar of a backend server.
//
//	pistachioroadd -settings entry.yaml
//	pistachioroadd -settings sidecar.yaml -check
//
// It ends with status 0 after a graceful shutdown (SIGTERM or SIGINT) or a
// check without errors, 1 when it failed, and 2 when the command line or the
// settings are wrong.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	_ "runtime/cgo" // links the C library in, as on all VMs
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/entry"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sidecar"
)

// The exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

func run() int {
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
	return serve(s)
}

// limitProcessors keeps the process to a few processors. Its work is many short
// hand-overs between goroutines; spread over all processors of a large VM, each
// one wakes another up, which costs a third more processor time and a longer
// tail of the first token than the work itself.
func limitProcessors(s settings.Settings) {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), s.Process.Processors))
	}
}

// serve runs the role of the settings until a signal ends it.
func serve(s settings.Settings) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := runRole(ctx, s); err != nil {
		log.WithError(err).Error("failed")
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

// setUpLog sets the format and level that the settings ask for.
func setUpLog(s settings.Settings) {
	log.SetHandler(json.New(os.Stderr))
	if s.Log.Format == "text" {
		log.SetHandler(text.New(os.Stderr))
	}
	log.SetLevelFromString(s.Log.Level)
	log.Log = log.Log.WithField("process", s.Process.Name)
}
