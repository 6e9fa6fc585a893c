// Command pistachioroad is the operators' command line tool. It calls the operator API of
// an entry to edit defaults, exceptions and drains, and to show status, dumps and
// explanations.
//
//	pistachioroad -entry 10.20.1.10:7002 -token-file token status
//
// The exit status is 0 (done), 1 (failed, nothing was changed), 2 (wrong command line),
// 3 (another edit came first, nothing was changed), 4 (the outcome of the edit is unknown),
// 5 (the platform's store cannot be reached, nothing was changed) or 6 (check-config has
// findings).
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	_ "runtime/cgo" // links the C library, as on all VMs
	"syscall"

	"github.com/rotisserie/eris"
)

// exitStatus is an exit status of the program.
type exitStatus int

const (
	exitOK               exitStatus = 0
	exitFailed           exitStatus = 1
	exitUsage            exitStatus = 2
	exitConflict         exitStatus = 3
	exitOutcomeUnknown   exitStatus = 4
	exitStoreUnavailable exitStatus = 5
	exitFindings         exitStatus = 6
)

// exitError is an error that determines the exit status. Its message is empty if the
// failure has already been printed.
type exitError struct {
	status  exitStatus
	message string
}

func (e *exitError) Error() string { return e.message }

func usageError(format string, args ...any) error {
	return &exitError{status: exitUsage, message: fmt.Sprintf(format, args...)}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(status))
}

// run executes one command line and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) exitStatus {
	a := &app{stdout: stdout, stderr: stderr}
	err := a.run(ctx, args)
	var exit *exitError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case !errors.As(err, &exit):
		exit = &exitError{status: exitFailed, message: eris.ToString(err, false)}
	}
	if exit.message != "" {
		fmt.Fprintln(stderr, "pistachioroad: "+printable(exit.message))
	}
	if exit.status == exitUsage {
		fmt.Fprintln(stderr, "Run pistachioroad -h for help.")
	}
	return exit.status
}
