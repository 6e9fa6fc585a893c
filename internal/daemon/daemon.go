// Package daemon holds what the processes of all roles have in common: the
// supervisor tree, the identity of one start of the process, and the order of
// its shutdown.
package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/platform"
)

const (
	// stopTimeout is how long a duty may take to end.
	stopTimeout = 5 * time.Second
	// restartPause is how long a duty that keeps panicking rests. The longer
	// default of the library would leave callers without answers.
	restartPause = time.Second
)

// Incarnation is random per start of the process.
type Incarnation uuid.UUID

// NewIncarnation returns the Incarnation of this start.
func NewIncarnation() Incarnation { return Incarnation(uuid.New()) }

// String returns the incarnation as it goes over links.
func (i Incarnation) String() string { return uuid.UUID(i).String() }

// NewSupervisor returns the root of a process's supervisor tree. A duty that
// panics is restarted alone.
func NewSupervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook:      logEvent,
		Timeout:        stopTimeout,
		FailureBackoff: restartPause,
	})
}

func logEvent(event suture.Event) {
	log.WithField("event", event.String()).Warn("supervisor")
}

// NewClient provides the platform's client from the settings.
func NewClient(i do.Injector) (*sharedstate.Client, error) {
	s := do.MustInvoke[settings.Settings](i)
	return sharedstate.NewClient(sharedstate.ClientConfig{
		Store:          platform.NewStore(s.Platform.Address),
		CallsPerSecond: s.Platform.CallsPerSecond,
	}), nil
}

// Serve runs the duties of root until ctx ends, then shutDown, then ends the
// duties. They outlive ctx, for requests in flight need them to the end.
func Serve(ctx context.Context, root *suture.Supervisor, shutDown func(context.Context)) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := root.ServeBackground(duties)
	select {
	case <-ctx.Done():
	case err := <-ended:
		return eris.Wrap(err, "supervisor ended")
	}
	shutDown(duties)
	stop()
	err := <-ended
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return eris.Wrap(err, "stop duties")
}
