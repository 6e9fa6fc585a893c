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

// runner executes the runs of the request table on the backend.
type runner struct {
	backend backend
	post    func(requests.Event)
}

// execute executes one run and posts its chunks and its outcome. The outcome is
// posted also after a panic; otherwise the run would hold its slot forever.
func (r *runner) execute(ctx context.Context, e requests.Run) {
	finished := requests.RunFinished{Run: e.Run}
	defer func() {
		if recovered := recover(); recovered != nil {
			runPanics.Inc(1)
			log.WithField("request", requestIDString(e.Start.GetRequestId())).WithField("fault", fmt.Sprint(recovered)).Error("run panicked")
			finished = requests.RunFinished{
				Run: e.Run,
				Err: verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the run failed inside the sidecar"),
			}
		}
		r.post(finished)
	}()
	finished.Final, finished.Err = r.run(ctx, e)
}

// run checks the deadline again, because the process may have been paused since
// the table started the run.
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
