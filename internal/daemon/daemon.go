// Package daemon has what the processes of all roles share: the supervisor tree,
// the incarnation that identifies a start of the process, and the shutdown
// sequence.
package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/thejerf/suture/v4"

	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/platform"
)

const (
	// stopTimeout bounds the time that a duty may take to stop.
	stopTimeout = 5 * time.Second
	// restartBackoff is the delay before a duty that panics repeatedly is
	// restarted. It is shorter than the default of suture, so that callers do
	// not go without responses for that long.
	restartBackoff = time.Second
)

// Incarnation is a random id for one start of the process.
type Incarnation uuid.UUID

// NewIncarnation returns a new random Incarnation.
func NewIncarnation() Incarnation { return Incarnation(uuid.New()) }

// String returns the incarnation in the form that is sent over links.
func (i Incarnation) String() string { return uuid.UUID(i).String() }

// NewSupervisor returns the root of a process's supervisor tree. If a duty
// panics, only that duty is restarted.
func NewSupervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook:      safego.LogSupervisorEvent,
		Timeout:        stopTimeout,
		FailureBackoff: restartBackoff,
	})
}

// NewClient returns a client of the platform configured by the settings in i.
func NewClient(i do.Injector) (*sharedstate.Client, error) {
	s := do.MustInvoke[settings.Settings](i)
	return sharedstate.NewClient(sharedstate.ClientConfig{
		Store:          platform.NewStore(s.Platform.Address),
		CallsPerSecond: s.Platform.CallsPerSecond,
	}), nil
}

// Serve runs the duties of root until ctx is done, then calls shutDown and stops
// the duties. The duties keep running during shutDown, because requests in flight
// need them until they finish.
func Serve(ctx context.Context, root *suture.Supervisor, shutDown func(context.Context)) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stopped := root.ServeBackground(duties)
	select {
	case <-ctx.Done():
	case err := <-stopped:
		return eris.Wrap(err, "supervisor stopped")
	}
	shutDown(duties)
	stop()
	err := <-stopped
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return eris.Wrap(err, "stop duties")
}
