package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// hedgedJobSuffix, with a number, distinguishes the job of a hedged attempt from that of
// the silent one.
const hedgedJobSuffix = "/hedge"

// errMoved is the read error of a stream that another engine continues.
var errMoved = errors.New("another engine continues the stream")

// hedgedBody is the body of an engine's answer. While the engine is silent, another one
// is asked to continue the stream.
type hedgedBody struct {
	body io.Reader
	// hedge is nil if the stream cannot be continued elsewhere.
	hedge *hedge
	// other is the attempt that continues the stream, nil if none does.
	other *hedgedAttempt
}

// Read implements io.Reader. It returns errMoved once another engine continues the
// stream. A slow caller does not count as silence of the engine, because the hedge
// waits only while the read does.
func (b *hedgedBody) Read(p []byte) (n int, err error) {
	if b.hedge == nil {
		return b.body.Read(p)
	}
	b.other = b.hedge.wait(func() bool {
		n, err = b.body.Read(p)
		return n > 0 || err == nil || errors.Is(err, io.EOF)
	})
	if b.other != nil {
		return 0, errMoved
	}
	return n, err
}

// hedgeStream returns the hedge of an attempt at an engine, or nil if the stream cannot
// be resumed at another one.
func (c *call) hedgeStream(ctx context.Context, decodeEngine backend.Server, id place.JobID, cancel context.CancelFunc) *hedge {
	if !c.route.Resumable || c.route.MaxAttempts < 2 {
		return nil
	}
	engines := c.gateway.engines
	return &hedge{
		call: c, ctx: ctx, first: decodeEngine, cancelFirst: cancel, next: c.tryOtherEngine,
		discard: func(a *hedgedAttempt) {
			a.reply.Body.Close()
			engines.finished(c.service.Name, a.job)
		},
		onSilence: func() { engines.silent(c.service.Name, decodeEngine.ID, id) },
	}
}

// forwardHedged forwards the answer of a hedged attempt, which has won.
func (c *call) forwardHedged(a *hedgedAttempt) *verdict.Error {
	defer a.cancel()
	defer c.gateway.engines.finished(c.service.Name, a.job)
	c.trace.plan, c.trace.prefill, c.trace.server = a.plan, a.prefill, a.server.ID
	return c.forward(a.server, a.reply, a.job, c.hedgeStream(c.ctx, a.server, a.job, a.cancel))
}

// tryOtherEngine places the rest of the request again and makes one attempt, with a hedge
// of its own.
func (c *call) tryOtherEngine(search context.Context) (a *hedgedAttempt, again bool) {
	// Without retry budget for the attempt, the prompt is not placed and prefilled for it.
	if !c.holdRetries(sendAttempt, c.arrivals.ExtraAfterSend()) {
		return nil, true
	}
	return c.placeHedged(search, c.runHedged), true
}

// placeHedged places the rest of the request again and begins an attempt there. It
// returns nil if there is no engine or the attempt fails.
func (c *call) placeHedged(search context.Context, begin func(context.Context, *hedgedAttempt) *hedgedAttempt) *hedgedAttempt {
	engines := c.gateway.engines
	now := time.Now()
	job := c.placeJob()
	c.hedgedJobs++
	job.ID = jobID(c.request.ID + hedgedJobSuffix + strconv.Itoa(c.hedgedJobs))
	remaining := c.deadline.Sub(now)
	plan, admission, ok := engines.place(now, c.service.Name, job, place.Constraints{Objective: remaining, Remaining: remaining, Committed: true})
	if !ok || !admission.Admit {
		return nil
	}
	c.priority = admission.Priority
	ctx, cancel := context.WithCancel(search)
	a := &hedgedAttempt{search: search, cancel: cancel, plan: plan, job: job.ID}
	var began *hedgedAttempt
	defer func() {
		// Also after a panic.
		if began != a {
			cancel()
			engines.finished(c.service.Name, job.ID)
		}
	}()
	began = begin(ctx, a)
	return began
}

// runHedged runs a hedged attempt as planned. It returns the attempt once its engine
// begins to answer, another one that was faster, or nil.
func (c *call) runHedged(ctx context.Context, a *hedgedAttempt) *hedgedAttempt {
	o := request.Options{Priority: c.priority, ResumeAfter: c.resumePoint()}
	if !a.plan.Split() {
		winner, _ := c.generateHedged(ctx, a, o)
		return winner
	}
	if c.prefillHedged(ctx, a) == nil {
		return nil
	}
	prefillEngine, handle := a.server, a.handle
	o.KVSource, o.Priority = c.gateway.codec.KVSource(prefillEngine.Address, handle), place.DecodePriority
	winner, failed := c.generateHedged(ctx, a, o)
	// Nobody fetches the KV cache for an attempt that lost.
	if winner != a && (failed == nil || failed.Verdict == verdict.NotRun || ctx.Err() != nil) {
		c.gateway.freeLater(prefillEngine, handle)
	}
	return winner
}

// prefillHedged has the prompt prefilled as planned. It returns nil if that fails.
func (c *call) prefillHedged(ctx context.Context, a *hedgedAttempt) *hedgedAttempt {
	g := c.gateway
	var ok bool
	if a.server, ok = serverByID(g.directory.View(), a.plan.PrefillEngine); !ok {
		return nil
	}
	began := time.Now()
	handle, _, failed := c.prefill(ctx, a.server, nil)
	if failed != nil {
		return nil
	}
	a.handle, a.prefill = handle, time.Since(began)
	g.engines.prefillDone(c.service.Name, a.job)
	return a
}

// generateHedged makes a hedged attempt at the planned decode engine, with a hedge of its
// own.
func (c *call) generateHedged(ctx context.Context, a *hedgedAttempt, o request.Options) (*hedgedAttempt, *verdict.Error) {
	var ok bool
	if a.server, ok = serverByID(c.gateway.directory.View(), a.plan.DecodeEngine); !ok {
		return nil, c.engineGone(a.plan.DecodeEngine)
	}
	reply, other, failed := c.send(ctx, a.server, o, c.hedgeStream(a.search, a.server, a.job, a.cancel))
	if other != nil {
		return other, nil
	}
	if failed != nil {
		c.avoidFailed(ctx, a.server, o, failed)
		return nil, failed
	}
	if reply.Status != http.StatusOK || (c.headSent && !continuesStream(reply)) {
		c.discardAnswer(a.server, reply)
		return nil, verdict.New(verdict.Ran, verdict.CodeBackendFailed, "response does not continue the stream: "+http.StatusText(reply.Status))
	}
	a.reply = reply
	return a, nil
}

// hedgePrefill returns the hedge of a prefill. The request has not run, so that any
// request may move on.
func (c *call) hedgePrefill(prefillEngine backend.Server, id place.JobID, cancel context.CancelFunc) *hedge {
	g := c.gateway
	return &hedge{
		call: c, ctx: c.ctx, first: prefillEngine, cancelFirst: cancel, next: c.tryOtherPrefill,
		discard: func(a *hedgedAttempt) {
			g.engines.finished(c.service.Name, a.job)
			g.freeLater(a.server, a.handle)
		},
		onSilence: func() { g.engines.silent(c.service.Name, prefillEngine.ID, id) },
	}
}

// tryOtherPrefill has the prompt prefilled by another engine. A plan without a separate
// prefill is no reason to give up one that has begun.
func (c *call) tryOtherPrefill(search context.Context) (a *hedgedAttempt, again bool) {
	if !c.holdRetries(prefillAttempt, c.arrivals.ExtraAfterPrefill()) {
		return nil, true
	}
	split := true
	a = c.placeHedged(search, func(ctx context.Context, a *hedgedAttempt) *hedgedAttempt {
		if split = a.plan.Split(); !split {
			return nil
		}
		return c.prefillHedged(ctx, a)
	})
	return a, split
}

// runHedgedPrefill generates the answer from the prefill of a hedge.
func (c *call) runHedgedPrefill(a *hedgedAttempt, job place.Job) *verdict.Error {
	defer a.cancel()
	defer c.gateway.engines.finished(c.service.Name, a.job)
	c.trace.plan, c.trace.prefill = a.plan, a.prefill
	job.ID = a.job
	return c.runPrefilled(a.plan, job, a.server, a.handle)
}
