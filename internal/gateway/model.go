package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/availability"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/eventstream"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/safego"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// maxPrefillResponse limits the size of the response to a PrefillOnly request.
	maxPrefillResponse = 64 << 10
	// freeKVTimeout limits the request that frees unused KV cache.
	freeKVTimeout = 500 * time.Millisecond
	// requestHeadBytes is about what the head of a request and its response take.
	requestHeadBytes = 1 << 10
)

// runModel serves a request to a service of model engines. It chooses engines for
// each attempt.
func (c *call) runModel() {
	g := c.gateway
	var last *verdict.Error
	for first := true; first || c.mayRetry(); first = false {
		now := time.Now()
		job := c.placeJob()
		plan, admission, ok := g.engines.place(now, c.service.Name, job, c.constraints(now))
		if !ok {
			engine, draining := c.drainingEngine(now)
			if !draining {
				last = c.noEligibleError("no engine", last)
				break
			}
			if last = c.generate(engine, request.Options{Priority: request.DefaultPriority}, job.ID); last == nil {
				return
			}
			continue
		}
		c.trace.plan, c.trace.plannedAfter = plan, now.Sub(c.received)
		if !admission.Admit {
			last = c.notAdmitted(admission)
			break
		}
		c.priority, c.trace.bySize = admission.Priority, admission.BySize
		err := c.runPlan(plan, job)
		if err == nil {
			return
		}
		if last == nil || !withheld(err) {
			last = err
		}
	}
	if c.headSent {
		c.abort(c.streamInterruption(), last.Message)
	}
	c.fail(last)
}

// notAdmitted returns the error of a request that is not admitted.
func (c *call) notAdmitted(a place.Admission) *verdict.Error {
	c.trace.memory, c.trace.standing = a.Memory, a.Standing
	code, message := verdict.CodeOverloaded, "the answer would come too late"
	switch {
	case a.OverShare:
		code, message = verdict.CodeAccountLimit, "the account is above its share of saturated engines"
	case a.Memory == place.NoRoom:
		message = "no engine has enough free memory"
	case a.Memory == place.TooLarge:
		message = "the request exceeds the memory of every engine"
	}
	return verdict.NewRejection(code, message, a.RetryAfter)
}

// placeJob returns the rest of the request as a job to place.
func (c *call) placeJob() place.Job {
	job := place.Job{
		ID:         jobID(c.request.ID),
		Prompt:     c.request.Prompt,
		Route:      c.route.Name,
		DataCentre: c.gateway.deployment.Load().DataCentre,
		Bytes:      len(c.request.Body) + requestHeadBytes,
		Exclude:    c.excluded,
		Suspect:    c.suspected(),
		Connected:  c.gateway.transport.Connected(),
		Version:    c.streamVersion,

		FailureRates: c.failureRates(),
		Repeatable:   c.mayRepeat(),
		Account:      c.shareAccount(),
		Priority:     c.route.Priority,
	}
	job.Prompt.DeliveredEvents += c.events()
	return job
}

// events returns the number of stream events that have been forwarded.
func (c *call) events() int {
	if c.sampler == nil {
		return c.trace.events
	}
	return c.trace.events + c.sampler.events
}

// constraints returns the time limits of the next attempt.
func (c *call) constraints(now time.Time) place.Constraints {
	remaining := c.deadline.Sub(now)
	if c.headSent || c.verdict != verdict.NotRun {
		// Rejecting the rest of a stream would waste what has been generated, and a
		// request that may have run can only fail, not be rejected.
		return place.Constraints{Objective: remaining, Remaining: remaining, Committed: true}
	}
	if c.request.Prompt.DeliveredEvents > 0 {
		// The caller resumes a stream: it has the first event, so that only the
		// deadline of the last one matters.
		return place.Constraints{Objective: remaining, Remaining: remaining}
	}
	return place.Constraints{Objective: c.received.Add(c.route.LatencyObjective).Sub(now), Remaining: remaining}
}

// runPlan runs the request at the planned engines. It returns nil if the response has
// been forwarded.
func (c *call) runPlan(plan place.Plan, job place.Job) *verdict.Error {
	defer c.gateway.engines.finished(c.service.Name, job.ID)
	if plan.Split() {
		return c.runSplit(plan, job)
	}
	return c.runAtOne(plan, job)
}

// runAtOne has one engine prefill the prompt and generate the answer.
func (c *call) runAtOne(plan place.Plan, job place.Job) *verdict.Error {
	decodeEngine, ok := serverByID(c.gateway.directory.View(), plan.DecodeEngine)
	if !ok {
		return c.engineGone(plan.DecodeEngine)
	}
	return c.generate(decodeEngine, request.Options{Priority: c.priority}, job.ID)
}

// runSplit has one engine prefill the prompt and another generate the answer.
func (c *call) runSplit(plan place.Plan, job place.Job) *verdict.Error {
	prefillEngine, ok := serverByID(c.gateway.directory.View(), plan.PrefillEngine)
	if !ok {
		return c.engineGone(plan.PrefillEngine)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	began := time.Now()
	handle, other, err := c.prefill(ctx, prefillEngine, c.hedgePrefill(prefillEngine, job.ID, cancel))
	c.trace.prefill = time.Since(began)
	if other != nil {
		c.gateway.engines.finished(c.service.Name, job.ID)
		return c.runHedgedPrefill(other, job)
	}
	if err != nil {
		return err
	}
	return c.runPrefilled(plan, job, prefillEngine, handle)
}

// runPrefilled has an engine generate the answer from KV cache that another one holds.
func (c *call) runPrefilled(plan place.Plan, job place.Job, prefillEngine backend.Server, handle string) *verdict.Error {
	g := c.gateway
	g.engines.prefillDone(c.service.Name, job.ID)
	options := request.Options{
		Priority: place.DecodePriority,
		KVSource: g.codec.KVSource(prefillEngine.Address, handle),
	}
	c.freePrefilled = func() { g.freeKV(prefillEngine, handle) }
	failed := c.generateWithFallback(plan, job, options)
	// An engine that failed may not have fetched the KV cache.
	if failed != nil && (failed.Verdict == verdict.NotRun || failed.Verdict == verdict.Ran) {
		g.freeLater(prefillEngine, handle)
	}
	return failed
}

// generateWithFallback generates the answer at the planned decode engine or, if that
// one rejects the request, at others. They use the same prefilled KV cache.
func (c *call) generateWithFallback(plan place.Plan, job place.Job, o request.Options) *verdict.Error {
	g := c.gateway
	for {
		var failed *verdict.Error
		decodeEngine, ok := serverByID(g.directory.View(), plan.DecodeEngine)
		if ok {
			failed = c.generate(decodeEngine, o, job.ID)
		} else {
			failed = c.engineGone(plan.DecodeEngine)
		}
		if failed == nil || c.verdict != verdict.NotRun || !c.mayRetry() {
			return failed
		}
		now := time.Now()
		if plan, ok = g.engines.reassignDecoder(now, c.service.Name, job, c.constraints(now), plan); !ok {
			return failed
		}
	}
}

// engineGone returns the error of a plan whose engine has left or is draining.
func (c *call) engineGone(id string) *verdict.Error {
	c.recordFailure(backend.Server{ID: id}, verdict.NotRun)
	return verdict.NewRejection(verdict.CodeNoBackend, "the engine has left", minRetryAfter)
}

// prefill has an engine prefill the prompt and returns the handle of its KV cache.
// Whatever the outcome, the request itself has not run. With a hedge, prefill returns
// the attempt at other engines instead if these are ready first.
func (c *call) prefill(ctx context.Context, prefillEngine backend.Server, h *hedge) (string, *hedgedAttempt, *verdict.Error) {
	if e := c.checkBeforeSend(prefillEngine); e != nil {
		return "", nil, e
	}
	if !c.holdRetries(prefillAttempt, c.arrivals.ExtraAfterPrefill()) {
		return "", nil, c.retryBudgetError()
	}
	c.prefillAttempts++
	c.listSend(prefillEngine)
	c.arrivals.Begin(retry.Prefill)
	c.beginOpen(prefillEngine, request.PrefillOnly)
	o := request.Options{Server: prefillEngine, Remaining: c.remaining(), Stage: request.PrefillOnly, Priority: c.priority}
	var reply *direct.Reply
	var err error
	other := h.wait(func() bool {
		reply, err = c.gateway.transport.Send(ctx, &c.request, o)
		return err == nil && reply.Status == http.StatusOK
	})
	c.endArrival(prefillEngine, retry.Prefill, err, err == nil && reply.Status == http.StatusOK)
	if other != nil {
		if reply != nil {
			safego.Go(freeingKV, func() { c.gateway.freeReply(prefillEngine, reply) })
		}
		c.leaveAttempt(prefillEngine, canceled)
		return "", other, nil
	}
	handle, failed := c.endPrefill(ctx, prefillEngine, reply, err)
	return handle, nil, failed
}

// endPrefill records the outcome of a prefill and returns the handle.
func (c *call) endPrefill(ctx context.Context, prefillEngine backend.Server, reply *direct.Reply, err error) (string, *verdict.Error) {
	g := c.gateway
	if err != nil {
		if e := verdict.Of(err); e.Verdict != verdict.NotRun && ctx.Err() == nil {
			c.observeUnanswered(prefillEngine, e)
		}
		c.avoidBroken(ctx, prefillEngine, verdict.Of(err).Verdict)
		return "", c.prefillFailed(prefillEngine, err.Error())
	}
	body, err := reply.ReadAll(maxPrefillResponse)
	if err != nil {
		if ctx.Err() == nil {
			c.observeFailure(prefillEngine)
		}
		c.avoidBroken(ctx, prefillEngine, verdict.MayHaveRun)
		return "", c.prefillFailed(prefillEngine, "answer broke off: "+err.Error())
	}
	if reply.Status != http.StatusOK {
		c.finishAttempt(prefillEngine)
		if isServerError(reply) && !reply.NotRun {
			c.observeFailure(prefillEngine)
		}
		g.engines.avoidEverywhere(c.service.Name, prefillEngine.ID, rejectionAvoidTime)
		return "", c.prefillFailed(prefillEngine, http.StatusText(reply.Status))
	}
	p, err := g.codec.ParsePrefilled(body)
	if err != nil {
		if reply.Unframed {
			c.avoidBroken(ctx, prefillEngine, verdict.MayHaveRun)
		}
		c.observeFailure(prefillEngine)
		c.finishAttempt(prefillEngine)
		return "", c.prefillFailed(prefillEngine, err.Error())
	}
	c.finishAttempt(prefillEngine)
	g.health.Observe(time.Now(), prefillEngine.ID, false)
	return p.Handle, nil
}

// avoidBroken avoids an engine to which the connection of a prefill broke, unless a hedge
// has canceled it. If the engine may have begun the prefill, that is reported.
func (c *call) avoidBroken(ctx context.Context, prefillEngine backend.Server, v verdict.Verdict) {
	hedgeLost := ctx.Err() != nil && c.ctx.Err() == nil
	if hedgeLost {
		return
	}
	c.gateway.engines.avoid(c.service.Name, prefillEngine.ID, failureAvoidTime)
	if v == verdict.NotRun {
		c.finishAttempt(prefillEngine)
		return
	}
	c.breakAttempt(prefillEngine)
}

func (c *call) prefillFailed(prefillEngine backend.Server, why string) *verdict.Error {
	c.recordFailure(prefillEngine, verdict.NotRun)
	return verdict.NewRejection(verdict.CodeOverloaded, "prefill at "+prefillEngine.ID+": "+why, minRetryAfter)
}

// generate has an engine generate the answer and forwards it.
func (c *call) generate(decodeEngine backend.Server, o request.Options, id place.JobID) *verdict.Error {
	o.ResumeAfter = c.resumePoint()
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	h := c.hedgeStream(c.ctx, decodeEngine, id, cancel)
	reply, other, err := c.send(ctx, decodeEngine, o, h)
	if other != nil {
		if o.KVSource != "" {
			safego.Go(freeingKV, c.freePrefilled)
		}
		return c.forwardHedged(other)
	}
	if err != nil {
		c.avoidFailed(ctx, decodeEngine, o, err)
		return err
	}
	return c.forward(decodeEngine, reply, id, h)
}

// forward forwards the answer of an engine. If a hedge finds that another engine goes
// on first, it forwards the rest from there.
func (c *call) forward(decodeEngine backend.Server, reply *direct.Reply, id place.JobID, h *hedge) *verdict.Error {
	g := c.gateway
	defer reply.Body.Close()
	if !c.headSent && !completes(reply) {
		return c.forwardError(decodeEngine, reply)
	}
	if c.headSent && !continuesStream(reply) {
		if !isServerError(reply) {
			c.observeFailure(decodeEngine)
		}
		c.discardAnswer(decodeEngine, reply)
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "response does not continue the stream: "+http.StatusText(reply.Status))
	}
	if !c.headSent {
		c.writeHead(reply)
		c.headSent = true
	}
	if h != nil {
		h.onSilence = nil
	}
	body := &hedgedBody{body: reply.Body, hedge: h}
	failed := c.copyEvents(decodeEngine, body, id)
	if failed == nil {
		c.finishAnswer(decodeEngine, reply)
		return nil
	}
	if body.other == nil {
		return failed
	}
	g.engines.finished(c.service.Name, id)
	return c.forwardHedged(body.other)
}

// copyEvents forwards the events of one engine and learns from them.
func (c *call) copyEvents(decodeEngine backend.Server, body *hedgedBody, id place.JobID) *verdict.Error {
	engines := c.gateway.engines
	silences := body.hedge.silent()
	c.sampler = &streamSampler{
		Reader: body,
		onFirst: func() {
			c.trace.versions = append(c.trace.versions, decodeEngine.Version)
			c.countRun(time.Now())
			engines.firstToken(c.service.Name, id)
		},
		onInterval: func(interval time.Duration) {
			// The interval of a silent engine says nothing about its speed.
			if n := body.hedge.silent(); n != silences {
				silences = n
				return
			}
			engines.interEventTime(c.service.Name, id, interval)
		},
	}
	failed := c.copyStream(decodeEngine, c.sampler)
	c.trace.events += c.sampler.events
	c.sampler = nil
	if failed == nil {
		engines.completed(c.service.Name, c.request.Prompt.ExpectedOutputTokens, c.request.Prompt.DeliveredEvents+c.trace.events)
	}
	return failed
}

// continuesStream reports whether a response can be the rest of a stream. Anything
// else after the first events would reach the caller as part of the stream.
func continuesStream(reply *direct.Reply) bool {
	return reply.Status == http.StatusOK && eventstream.IsContentType(reply.Header.Get("Content-Type"))
}

// copyStream forwards the events of one engine. It returns an error only if the
// stream may be resumed at another engine; otherwise an interruption aborts the call.
func (c *call) copyStream(decodeEngine backend.Server, source io.Reader) *verdict.Error {
	if !c.route.Resumable {
		if err := c.copyBody(source); err != nil {
			c.breakAnswer(decodeEngine)
			c.abort(c.interruption(), "stream from the engine interrupted: "+err.Error())
		}
		return nil
	}
	c.stream = &eventReader{source: source, lastID: c.lastEventID, onFirst: func() { c.fixStreamVersion(decodeEngine) }}
	err := c.copyBody(c.stream)
	c.lastEventID = c.stream.lastID
	c.stream = nil
	if err == nil {
		return nil
	}
	if errors.Is(err, errMoved) {
		c.leaveAttempt(decodeEngine, canceled)
	} else {
		c.breakAnswer(decodeEngine)
	}
	c.exclude(decodeEngine)
	return verdict.New(verdict.MayHaveRun, verdict.CodeAnswerBroken, "stream from the engine interrupted: "+err.Error())
}

// resumePoint returns the ID of the last event that the caller has, empty for none.
func (c *call) resumePoint() string {
	if c.stream != nil {
		return c.stream.lastID
	}
	return c.lastEventID
}

// rejectionAvoidTime is how long an engine is avoided after it rejected a request:
// long enough that each gateway makes about one attempt a second there, short enough
// to notice when it accepts requests again.
const rejectionAvoidTime = 700 * time.Millisecond

// avoidFailed avoids an engine after a failed attempt. A rejection of a request with
// KV cache to fetch is as often the fault of the engine that holds the cache. Only
// this gateway then avoids the engine, for half the time.
func (c *call) avoidFailed(ctx context.Context, s backend.Server, o request.Options, err *verdict.Error) {
	engines := c.gateway.engines
	switch {
	case ctx.Err() != nil || c.retryBudgetSpent || withheld(err) || err.Code == verdict.CodeQuarantined:
	case err.Verdict != verdict.NotRun || err.Code == verdict.CodeNoBackend:
		engines.avoid(c.service.Name, s.ID, failureAvoidTime)
	case o.KVSource == "":
		engines.avoidEverywhere(c.service.Name, s.ID, rejectionAvoidTime)
	default:
		engines.avoid(c.service.Name, s.ID, rejectionAvoidTime/2)
	}
}

// freeingKV names the work of goroutines that free KV cache.
const freeingKV = "free KV cache"

// freeLater is freeKV in another goroutine.
func (g *Gateway) freeLater(s backend.Server, handle string) {
	safego.Go(freeingKV, func() { g.freeKV(s, handle) })
}

// freeReply frees the KV cache of a prefill that is not used any more.
func (g *Gateway) freeReply(s backend.Server, reply *direct.Reply) {
	body, err := reply.ReadAll(maxPrefillResponse)
	if reply.Status != http.StatusOK {
		return
	}
	p, parseErr := g.codec.ParsePrefilled(body)
	if err := errors.Join(err, parseErr); err != nil {
		logNotFreed(s, err)
		return
	}
	g.freeKV(s, p.Handle)
}

// freeKV frees KV cache that no engine has fetched. Otherwise it would occupy memory
// until the handle expires, as it does at an engine that wants no requests.
func (g *Gateway) freeKV(s backend.Server, handle string) {
	if reason := g.statements.withdrawn(s.Instance()).Reason; reason != availability.Available {
		logNotFreed(s, eris.New("the engine is "+reason.String()))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeKVTimeout)
	defer cancel()
	g.statements.countSend(s.ID)
	method, path := g.codec.FreeHandle(handle)
	r := request.Request{ID: handle, Method: method, Target: path, Host: s.Address, Header: http.Header{}}
	reply, err := g.transport.Send(ctx, &r, request.Options{Server: s, Remaining: freeKVTimeout, Priority: request.DefaultPriority})
	if err != nil {
		logNotFreed(s, err)
		return
	}
	reply.Body.Close()
}

func logNotFreed(s backend.Server, err error) {
	log.WithField("server", s.ID).WithField("error", err.Error()).Info("free KV cache failed")
}
