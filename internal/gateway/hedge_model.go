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

// hedgedJobSuffix, with the number of attempts, distinguishes the job of a hedged attempt
// from that of the silent one.
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
func (c *call) hedgeStream(decodeEngine backend.Server, cancel context.CancelFunc) *hedge {
	if !c.route.Resumable || c.route.MaxAttempts < 2 {
		return nil
	}
	engines := c.gateway.engines
	return &hedge{
		call: c, first: decodeEngine, cancelFirst: cancel, next: c.tryOtherEngine,
		discard: func(a *hedgedAttempt) {
			a.reply.Body.Close()
			engines.finished(c.service.Name, a.job)
		},
		avoidFirst: func() { engines.avoid(c.service.Name, decodeEngine.ID, failureAvoidTime) },
	}
}

// forwardHedged forwards the answer of a hedged attempt, which has won.
func (c *call) forwardHedged(a *hedgedAttempt) *verdict.Error {
	defer a.cancel()
	defer c.gateway.engines.finished(c.service.Name, a.job)
	c.trace.plan, c.trace.prefill, c.trace.server = a.plan, a.prefill, a.server.ID
	return c.forward(a.server, a.reply, a.job, c.hedgeStream(a.server, a.cancel))
}

// tryOtherEngine places the rest of the request again and makes one attempt. It returns
// the attempt once the engine begins to answer, or nil.
func (c *call) tryOtherEngine(ctx context.Context) *hedgedAttempt {
	return c.placeHedged(ctx, func(ctx context.Context, a *hedgedAttempt) bool {
		if !c.prefillHedged(ctx, a) {
			return false
		}
		o := request.Options{Priority: c.priority, ResumeAfter: c.resumePoint()}
		if !a.plan.Split() {
			return c.generateHedged(ctx, a, o) == nil
		}
		prefillEngine := a.server
		o.KVSource, o.Priority = c.gateway.codec.KVSource(prefillEngine.Address, a.handle), place.DecodePriority
		failed := c.generateHedged(ctx, a, o)
		if failed != nil && (failed.Verdict == verdict.NotRun || ctx.Err() != nil) {
			go c.gateway.freeKV(prefillEngine, a.handle)
		}
		return failed == nil
	})
}

// placeHedged places the rest of the request again and begins an attempt there. It
// returns nil if there is no engine, no room in the retry budget or the attempt fails.
func (c *call) placeHedged(ctx context.Context, begin func(context.Context, *hedgedAttempt) bool) *hedgedAttempt {
	engines := c.gateway.engines
	now := time.Now()
	job := c.placeJob()
	job.ID = jobID(c.request.ID + hedgedJobSuffix + strconv.Itoa(c.attempts))
	remaining := c.deadline.Sub(now)
	plan, admission, ok := engines.place(now, c.service.Name, job, place.Constraints{Objective: remaining, Remaining: remaining, Committed: true})
	if !ok || !admission.Admit {
		return nil
	}
	if !c.reserveRetry() {
		engines.finished(c.service.Name, job.ID)
		return nil
	}
	c.priority = admission.Priority
	ctx, cancel := context.WithCancel(ctx)
	a := &hedgedAttempt{cancel: cancel, plan: plan, job: job.ID}
	if !begin(ctx, a) {
		cancel()
		engines.finished(c.service.Name, job.ID)
		return nil
	}
	return a
}

// reserveRetry counts the next attempt against the retry budget before its prefill:
// without room in the budget the prompt would be prefilled for nothing.
func (c *call) reserveRetry() bool {
	if c.attempts > 0 && !c.retryReserved {
		c.retryReserved = c.spendRetry()
	}
	return c.attempts == 0 || c.retryReserved
}

// prefillHedged has the prompt prefilled as planned. It reports whether the answer can
// be generated.
func (c *call) prefillHedged(ctx context.Context, a *hedgedAttempt) bool {
	if !a.plan.Split() {
		return true
	}
	g := c.gateway
	var ok bool
	if a.server, ok = serverByID(g.directory.View(), a.plan.PrefillEngine); !ok {
		return false
	}
	began := time.Now()
	handle, _, failed := c.prefill(ctx, a.server, nil)
	if failed != nil {
		return false
	}
	a.handle, a.prefill = handle, time.Since(began)
	g.engines.prefillDone(c.service.Name, a.job)
	return true
}

// hedgePrefill returns the hedge of a prefill. The request has not run, so that any
// request may move on.
func (c *call) hedgePrefill(prefillEngine backend.Server, cancel context.CancelFunc) *hedge {
	g := c.gateway
	return &hedge{
		call: c, first: prefillEngine, cancelFirst: cancel, runCounted: true,
		next: func(ctx context.Context) *hedgedAttempt { return c.placeHedged(ctx, c.prefillHedged) },
		discard: func(a *hedgedAttempt) {
			g.engines.finished(c.service.Name, a.job)
			if a.plan.Split() {
				go g.freeKV(a.server, a.handle)
			}
		},
		avoidFirst: func() { g.engines.avoid(c.service.Name, prefillEngine.ID, failureAvoidTime) },
	}
}

// runHedgedPrefill generates the answer as planned by the hedge of a prefill.
func (c *call) runHedgedPrefill(a *hedgedAttempt, job place.Job) *verdict.Error {
	defer a.cancel()
	defer c.gateway.engines.finished(c.service.Name, a.job)
	c.trace.plan, c.trace.prefill = a.plan, a.prefill
	job.ID = a.job
	if !a.plan.Split() {
		return c.runAtOne(a.plan, job)
	}
	return c.runPrefilled(a.plan, job, a.server, a.handle)
}

// generateHedged makes a hedged attempt at the planned decode engine.
func (c *call) generateHedged(ctx context.Context, a *hedgedAttempt, o request.Options) *verdict.Error {
	var ok bool
	if a.server, ok = serverByID(c.gateway.directory.View(), a.plan.DecodeEngine); !ok {
		return c.engineGone(a.plan.DecodeEngine)
	}
	reply, _, failed := c.send(ctx, a.server, o, nil)
	if failed != nil {
		c.avoidFailed(ctx, a.server, o, failed)
		return failed
	}
	if reply.Status != http.StatusOK || (c.headSent && !continuesStream(reply)) {
		c.exclude(a.server)
		reply.Body.Close()
		return verdict.New(verdict.Ran, verdict.CodeBackendFailed, "response does not continue the stream: "+http.StatusText(reply.Status))
	}
	a.reply = reply
	return nil
}
