// Command pistachioroad-gateway is the gateway of pistachioroad on the users' platform. It
// routes callers' requests by host and path and sends them directly to backend servers.
//
//	pistachioroad-gateway -metrics 9464
//
// The environment variable PISTACHIOROAD_CONFIG holds the path of the settings file,
// unless -settings is given.
//
// The exit status is 0 after a graceful shutdown (SIGTERM or SIGINT) or a successful
// check, 1 after a failure, and 2 if the command line or the settings are invalid.
package main

import (
	"flag"
	"fmt"
	"os"
	_ "runtime/cgo" // links the C library, as on all VMs
	"runtime/debug"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"pistachioroad.dev/pistachioroad/internal/decide/locality"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/gateway/process"
	"pistachioroad.dev/pistachioroad/internal/logsink"
	"pistachioroad.dev/pistachioroad/internal/signals"
	"pistachioroad.dev/pistachioroad/platform"
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
	metricsPort := flag.Int("metrics", 0, "`port` of the metrics address on the VM's own IP number; 0 for none")
	path := flag.String("settings", os.Getenv(platform.SettingsVariable), "settings `file` of the platform")
	check := flag.Bool("check", false, "check the settings and exit")
	distance := flag.Duration("distance-price", 0, "`wait` that may be added to answers for each megabyte kept within the data centre; 0 makes distance free")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 || *distance < 0 {
		flag.Usage()
		return exitUsage
	}
	load := func() (deployment.Deployment, error) {
		d, err := platform.LoadSettings(*path)
		d.DistancePrice = locality.Price(*distance)
		return d, err
	}
	d, err := load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *check {
		fmt.Println(*path + ": ok")
		return exitOK
	}
	return serve(received, d, load, *metricsPort)
}

func serve(received signals.Signals, d deployment.Deployment, reload func() (deployment.Deployment, error), metricsPort int) int {
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log.SetHandler(json.New(sink))
	log.Log = log.Log.WithField("process", d.Name)
	debug.SetMemoryLimit(gateway.MemoryPlan(d).Heap)
	if received.Stop.Err() != nil {
		log.Info("stopped before it served")
		return exitOK
	}
	err := process.Run(received.Stop, process.Config{
		Deployment:  d,
		Reload:      reload,
		Reloads:     received.Reload,
		MetricsPort: metricsPort,
	})
	if err != nil {
		log.WithField("error", err.Error()).Error("process failed")
		return exitFailed
	}
	return exitOK
}
