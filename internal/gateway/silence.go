package gateway

import (
	"context"
	"io"
	"time"
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
	body    io.Reader
	allowed time.Duration
	giveUp  context.CancelFunc
	// timer is nil for a stream that is not watched.
	timer *time.Timer
}

func (w *silenceWatch) begin() { w.timer = time.AfterFunc(w.allowed, w.giveUp) }

func (w *silenceWatch) end() { w.timer.Stop() }

// Read implements io.Reader.
func (w *silenceWatch) Read(p []byte) (int, error) {
	n, err := w.body.Read(p)
	if w.timer != nil {
		w.timer.Reset(w.allowed)
	}
	return n, err
}
