package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// hedgedJobSuffix distinguishes the job of a hedged attempt from that of the first one.
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
		discard:    func(a *hedgedAttempt) { engines.finished(c.service.Name, a.job) },
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
	engines := c.gateway.engines
	now := time.Now()
	job := c.placeJob()
	job.ID = jobID(c.request.ID + hedgedJobSuffix)
	remaining := c.deadline.Sub(now)
	plan, admission, ok := engines.place(now, c.service.Name, job, place.Constraints{Objective: remaining, Remaining: remaining, Committed: true})
	if !ok || !admission.Admit {
		return nil
	}
	// The attempt is counted before the prefill: without room in the budget the prompt
	// would be prefilled for nothing.
	if c.retryReserved = c.spendRetry(); !c.retryReserved {
		engines.finished(c.service.Name, job.ID)
		return nil
	}
	c.priority = admission.Priority
	ctx, cancel := context.WithCancel(ctx)
	a := &hedgedAttempt{cancel: cancel, plan: plan, job: job.ID}
	if !c.beginHedged(ctx, a) {
		cancel()
		engines.finished(c.service.Name, job.ID)
		return nil
	}
	return a
}

// beginHedged sends a hedged attempt to its engines. It reports whether the engine has
// begun an answer that can be forwarded.
func (c *call) beginHedged(ctx context.Context, a *hedgedAttempt) bool {
	g := c.gateway
	o := request.Options{Priority: c.priority, ResumeAfter: c.resumePoint()}
	if a.plan.Split() {
		prefillEngine, ok := serverByID(g.directory.View(), a.plan.PrefillEngine)
		if !ok {
			return false
		}
		began := time.Now()
		handle, failed := c.prefill(ctx, prefillEngine)
		a.prefill = time.Since(began)
		if failed != nil {
			return false
		}
		g.engines.prefillDone(c.service.Name, a.job)
		o.KVSource, o.Priority = g.codec.KVSource(prefillEngine.Address, handle), place.DecodePriority
		failed = c.generateHedged(ctx, a, o)
		if failed != nil && failed.Verdict == verdict.NotRun {
			go g.freeKV(prefillEngine, handle)
		}
		return failed == nil
	}
	return c.generateHedged(ctx, a, o) == nil
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
