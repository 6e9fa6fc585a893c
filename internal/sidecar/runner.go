package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/sidecar/requests"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

var runPanics = metrics.GetOrRegisterCounter("requests.run.panics", nil)

// runner carries out the runs of the request table.
type runner struct {
	backend backend
	post    func(requests.Event)
}

// do carries out one run and posts its pieces and its end. The end comes also
// after a panic: the run would hold its slot for good otherwise.
func (r *runner) do(ctx context.Context, e requests.Run) {
	ended := requests.RunFinished{Run: e.Run}
	defer func() {
		if fault := recover(); fault != nil {
			runPanics.Inc(1)
			log.WithField("fault", fmt.Sprint(fault)).Error("run panicked")
			ended = requests.RunFinished{
				Run: e.Run,
				Err: verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the run failed inside the sidecar"),
			}
		}
		r.post(ended)
	}()
	ended.Final, ended.Err = r.run(ctx, e)
}

// run looks at the deadline once more: the process may have been paused since
// the table decided.
func (r *runner) run(ctx context.Context, e requests.Run) (*wire.Final, *verdict.Error) {
	if !time.Now().Before(e.Deadline) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline passed before the start")
	}
	final, err := r.backend.run(ctx, e.Start, e.Deadline, func(data []byte, tokens uint32) error {
		r.post(requests.ChunkReceived{Run: e.Run, Data: data, Tokens: tokens})
		return nil
	})
	if err != nil {
		return nil, verdict.Of(err)
	}
	return final, nil
}
