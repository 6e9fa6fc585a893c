package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
)

// streamStallTimeout is how long a resumable stream may send no data before it is
// resumed at another engine. Callers leave after two seconds; the rest of that time
// is for the prefill at the other engine.
const streamStallTimeout = time.Second

// stallWatch cancels a stream that sends no data for streamStallTimeout.
//
// It handles an engine that stops sending in the middle of its streams, with its
// connections open. Without it, callers wait for two seconds and leave. Symptom: the
// answers of one engine are all cut off at about the same time, without an error of
// the engine.
type stallWatch struct {
	body io.Reader
	// timer is nil if the stream is not watched.
	timer *time.Timer
	// fired is set once the stream has been canceled.
	fired atomic.Bool
}

// watchStall watches the next attempt of a stream if it could be resumed elsewhere.
// Otherwise a stall is no reason to cancel it, because the engine may recover.
func (c *call) watchStall(cancel context.CancelFunc) *stallWatch {
	decodeEngines := lo.CountBy(c.gateway.directory.View().Service(c.service.Name), func(s backend.Server) bool {
		return s.Role != backend.Prefill && !c.excludedServers[s.ID]
	})
	if !c.route.Resumable || c.possibleRuns+1 >= c.route.MaxAttempts || decodeEngines < 2 {
		return &stallWatch{}
	}
	w := &stallWatch{}
	w.timer = time.AfterFunc(streamStallTimeout, func() {
		w.fired.Store(true)
		metrics.GetOrRegisterCounter("gateway.streams_stalled", nil).Inc(1)
		cancel()
	})
	return w
}

// Read implements io.Reader. The timer runs only while the read waits, so that a
// slow caller does not count as a stall.
func (w *stallWatch) Read(p []byte) (int, error) {
	if w.timer == nil {
		return w.body.Read(p)
	}
	w.timer.Reset(streamStallTimeout)
	n, err := w.body.Read(p)
	w.timer.Stop()
	return n, err
}

// stop ends the watch. It reports whether the stream has been canceled.
func (w *stallWatch) stop() bool {
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.fired.Load()
}
