// Package signals receives the signals of a process for all of its life. A signal for which
// nothing is registered ends the process at once, with all open requests.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// Signals are the signals that a process has received.
type Signals struct {
	// Stop is done after the first SIGTERM or SIGINT. Further ones do nothing.
	Stop context.Context
	// Reload has an element after a SIGHUP. Further ones do nothing until it is received.
	Reload <-chan os.Signal
}

// Receive receives the signals of the process from now on. A program calls it before anything
// else.
func Receive() Signals {
	// By default, a write to the standard output or error that nobody reads ends the process.
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	terminations := make(chan os.Signal, 1)
	signal.Notify(terminations, syscall.SIGTERM, syscall.SIGINT)
	stop, cancel := context.WithCancel(context.Background())
	go func() {
		<-terminations
		cancel()
	}()
	return Signals{Stop: stop, Reload: reload}
}

// IgnoreReload logs each SIGHUP in a process that does not reread its settings.
func (s Signals) IgnoreReload() {
	go func() {
		for range s.Reload {
			log.Warn("SIGHUP ignored: settings are read only when the process starts")
		}
	}()
}
