package gateway

import (
	"context"
	"io"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

// streamSilence is how long a stream that may be resumed may be silent before it
// goes on at another engine: callers leave after two seconds, and the rest of that
// is for the prompt to be read again.
const streamSilence = time.Second

// silenceWatch gives a stream up that stays silent for too long.
//
// An engine falls silent in the middle of its streams, with its connections open.
// Their callers wait for two seconds and leave; one notices by answers of one
// engine that all break off within a moment, without an error of the engine's.
type silenceWatch struct {
	body io.Reader
	// timer is nil for a stream that is not watched.
	timer *time.Timer
}

// watchSilence watches the next attempt of a stream if it could go on elsewhere.
// Where it could not, silence is no reason to end it: the engine may come back.
func (c *call) watchSilence(giveUp context.CancelFunc) *silenceWatch {
	generators := lo.CountBy(c.gateway.directory.View().Service(c.service.Name), func(s backend.Server) bool {
		return s.Role != backend.Prefill && !c.refusedBy[s.ID]
	})
	if !c.route.Resumable || c.ran+1 >= c.route.MaxAttempts || generators < 2 {
		return &silenceWatch{}
	}
	return &silenceWatch{timer: time.AfterFunc(streamSilence, giveUp)}
}

// Read implements io.Reader. The time in which the caller takes what was read
// does not count.
func (w *silenceWatch) Read(p []byte) (int, error) {
	if w.timer == nil {
		return w.body.Read(p)
	}
	w.timer.Reset(streamSilence)
	n, err := w.body.Read(p)
	w.timer.Stop()
	return n, err
}

func (w *silenceWatch) end() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
