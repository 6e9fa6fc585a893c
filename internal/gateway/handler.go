package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"pistachioroad.dev/pistachioroad/internal/callerbody"
	"pistachioroad.dev/pistachioroad/internal/callerconn"
	"pistachioroad.dev/pistachioroad/internal/decide/availability"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/decide/retry"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/openrequests"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/routes"
	"pistachioroad.dev/pistachioroad/internal/usage"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// defaultRetryAfter is the Retry-After of rejections without a better estimate,
	// for example while the configuration is missing or may be outdated.
	defaultRetryAfter = 300 * time.Millisecond
	// maxUnconfiguredRetryAfter is the upper limit of Retry-After while no gateway
	// can reach the store.
	maxUnconfiguredRetryAfter = 2 * time.Second
	// defaultConfigApplyTime is how long a confirmed configuration may take to
	// become active, unless the deployment sets a limit.
	defaultConfigApplyTime = 2 * time.Second
	// defaultTimeout applies to requests that state no timeout.
	defaultTimeout = 30 * time.Second
	// headerFieldOverhead is the size of the separator and line end of a header field.
	headerFieldOverhead = 4
	// responseWriteSlack is how long after its deadline a request's response may
	// still be written.
	responseWriteSlack = time.Second
	// defaultBodyLimit applies if the configuration sets no limit.
	defaultBodyLimit = 4 << 20
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	caller := &callerconn.Writer{ResponseWriter: w, Closing: g.shuttingDown, Request: r}
	c := &call{gateway: g, writer: caller, received: now, id: g.codec.RequestID(r.Header), body: &callerbody.Body{}}
	c.listed = g.calls.Add(c.id, now)
	// For a panic of logRequest.
	defer c.recoverPanic(caller)
	defer g.calls.Remove(c.listed)
	defer c.logRequest()
	defer c.recoverPanic(caller)
	defer c.settleRetries()
	defer c.leaveOpenAttempts()
	defer func() { c.body.Release() }()
	if !c.prepare(r) {
		c.answered = true
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx, c.cancel = ctx, cancel
	c.callerCtx = r.Context()
	if !g.calls.SetEnd(c.listed, cancel) {
		cancel()
	}
	c.run()
	c.answered = true
}

// call is the state of one caller's request while it is handled.
type call struct {
	gateway *Gateway
	writer  *callerconn.Writer
	// callerCtx is done when the caller disconnects, ctx also at the deadline.
	ctx, callerCtx context.Context
	// cancel ends all attempts.
	cancel context.CancelFunc

	id       string
	received time.Time
	deadline time.Time
	// listed is the call's entry in the list of open requests.
	listed  *openrequests.Request
	view    *directory.View
	route   routes.Route
	service routes.Service
	request request.Request
	auth    authResult
	// counted is set while the request is counted for its client account, as usageMark.
	counted   bool
	usageMark usage.Mark
	body      *callerbody.Body
	// cachedFingerprint is the request's fingerprint, 0 until it is first needed.
	cachedFingerprint request.Fingerprint
	// quarantineStatus is the result of the last quarantine check. It lists the
	// servers that terminated while they ran the request.
	quarantineStatus quarantine.Status
	// cachedSegments are the IDs of the prompt's shared segments, nil until they are first
	// needed, and segmentsSuspected says that one of them may crash engines.
	cachedSegments    []quarantine.Segment
	segmentsSuspected bool
	// trialOf names the segments of which the request is a trial, empty if it is none.
	trialOf string
	// open has the attempts whose servers may be running the request.
	open []openAttempt

	// verdict is the worst verdict of all attempts.
	verdict  verdict.Verdict
	attempts int
	// prefillAttempts counts the attempts that requested only a prefill.
	prefillAttempts int
	// retryBudgetSpent is set once the service's retry budget is exhausted.
	retryBudgetSpent bool
	// arrivals counts what the attempts cost the service. heldRetries are the parts of its
	// retry budget that are held for attempts that have not ended or not begun, and
	// spentRetries those that are spent.
	arrivals                  retry.Arrivals
	heldRetries, spentRetries int
	// unanswered are the attempts that ended before their servers had answered.
	unanswered []retry.Unanswered
	// possibleRuns counts the attempts whose server ran, or may have run, the request,
	// and pendingRuns those whose server has not responded.
	possibleRuns, pendingRuns int
	// freePrefilled frees the KV cache from which the first attempt was to generate.
	freePrefilled func()
	// hedgedJobs counts the jobs of hedged attempts.
	hedgedJobs int
	// headSent is set once the head of the response has been sent; lastEventID is
	// the ID of the last stream event sent to the caller.
	headSent    bool
	lastEventID string
	// answered is set once the whole answer has been written.
	answered bool
	// streamVersion is the software version that began the stream, once its first event
	// has been forwarded.
	streamVersion streamversion.Constraint
	// stream reads the answer that is being forwarded, and sampler counts its events.
	stream  *eventReader
	sampler *streamSampler
	// priority is the request's priority in engines' queues.
	priority int
	// excludedServers are not tried again for this request.
	excludedServers map[string]bool
	// skipped are the servers that were skipped because of what they state, with the last
	// reason.
	skipped map[string]availability.Reason

	trace trace
}

// prepare parses and validates the request. If the request cannot be served, it
// sends an error response and returns false.
func (c *call) prepare(r *http.Request) bool {
	g := c.gateway
	c.view = g.directory.View()
	if c.view.Table == nil {
		c.respondError(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeStoreUnavailable, "no configuration yet", c.unconfiguredRetryAfter(r)))
		return false
	}
	route, ok := c.view.Table.Match(r.Host, pathOf(r.RequestURI))
	if !ok {
		c.rejectUnknownRoute()
		return false
	}
	c.route = route
	g.calls.Update(func() { c.listed.Route = route.Name })
	req, err := g.codec.ParseRequest(r, c.received)
	if err != nil {
		c.respondError(http.StatusBadRequest, verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error()))
		return false
	}
	c.request = req
	c.deadline = c.received.Add(c.timeout())
	if !c.checkHeadSize(r) || !c.authenticate(r) || !c.setIODeadlines(r) || !c.checkShutdown() || !c.readBody(r) {
		return false
	}
	c.chooseService()
	return true
}

// unconfiguredRetryAfter returns the Retry-After while this gateway has no
// configuration. While no gateway can reach the store, it is as late as the caller
// would still retry: such an outage lasts for seconds, and a caller that retries
// within it is rejected for good.
func (c *call) unconfiguredRetryAfter(r *http.Request) time.Duration {
	if c.view.Announced.Revision > 0 || !c.gateway.directory.StoreUnreachable() {
		return defaultRetryAfter
	}
	req, err := c.gateway.codec.ParseRequest(r, c.received)
	if err != nil {
		return defaultRetryAfter
	}
	c.request = req
	return min(max(defaultRetryAfter, place.MaxRetryAfter(c.timeout())), maxUnconfiguredRetryAfter)
}

// rejectUnknownRoute responds to a request that matches no route. If the store has
// not confirmed the configuration within configApplyTime, or another gateway has a
// newer one, the route may have been added since. The response is then a 503, which
// callers retry, instead of a 404, which they do not.
func (c *call) rejectUnknownRoute() {
	if !c.view.Current(c.received, c.gateway.configApplyTime()) {
		c.respondError(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeStoreUnavailable, "no such route in a configuration that may be old", defaultRetryAfter))
		return
	}
	c.respondError(http.StatusNotFound, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no such route"))
}

// configApplyTime returns how long a confirmed configuration may take to become active.
func (g *Gateway) configApplyTime() time.Duration {
	if bound := g.deployment.Load().Bounds.ConfigApplyTimeout; bound > 0 {
		return bound
	}
	return defaultConfigApplyTime
}

// timeout returns how long the caller may be kept waiting.
func (c *call) timeout() time.Duration {
	timeout := c.request.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	return timeout
}

// checkHeadSize checks the request's head against the configured size limit.
func (c *call) checkHeadSize(r *http.Request) bool {
	limit := c.view.Table.Limits.HeaderBytes
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerFieldOverhead
		}
	}
	if limit > 0 && size > limit {
		c.respondError(http.StatusRequestHeaderFieldsTooLarge, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "head over the limit"))
		return false
	}
	return true
}

// setIODeadlines limits how long a caller that neither sends nor reads can occupy
// memory and a connection. Without a body, net/http already reads in the background to
// notice that the caller disconnects: a read deadline that passes would look like that.
func (c *call) setIODeadlines(r *http.Request) bool {
	control := http.NewResponseController(c.writer)
	var read error
	if r.ContentLength != 0 {
		read = control.SetReadDeadline(c.deadline)
	}
	write := control.SetWriteDeadline(c.deadline.Add(responseWriteSlack))
	if err := errors.Join(read, write); err != nil {
		c.respondError(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeInternal, err.Error(), defaultRetryAfter))
		return false
	}
	return true
}

func (c *call) chooseService() {
	name := c.route.Choose(rand.Float64())
	service, ok := c.view.Table.Services[name]
	if !ok {
		service = routes.Service{Name: name}
	}
	c.service = service
	c.gateway.retryBudgets.countRequest(name)
}

// readBody reads the body within the configured size limit and the memory limit
// for bodies.
func (c *call) readBody(r *http.Request) bool {
	limit := c.view.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength == 0 {
		return true
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	interrupt := func() { callerconn.InterruptRead(c.writer) }
	endRead := func() {
		cancel()
		interrupt()
	}
	if !c.gateway.calls.SetEnd(c.listed, endRead) {
		endRead()
	}
	body, err := c.gateway.bodies.Read(ctx, r.Body, r.ContentLength, limit, interrupt)
	c.body = body
	if err != nil {
		c.rejectUnreadBody(err)
		return false
	}
	c.writer.BodyRead()
	c.request.Body = body.Bytes
	return c.clearReadDeadline()
}

// rejectUnreadBody responds to a request whose body was not read because of err.
func (c *call) rejectUnreadBody(err error) {
	// The memory is not needed for the response.
	c.body.Release()
	c.writer.Header().Set("Connection", "close")
	reject := func(status int, code verdict.Code, message string) {
		c.respondError(status, verdict.New(verdict.NotRun, code, message))
	}
	switch {
	case errors.Is(err, callerbody.ErrTooLarge):
		reject(http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, err.Error())
	case errors.Is(err, callerbody.ErrAborted):
		c.abort(callerSlow, err.Error())
	case c.endedByShutdown() && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, callerbody.ErrNoMemory)):
		c.respondError(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeDraining, "the gateway ends before the body has come", minRetryAfter))
	case errors.Is(err, callerbody.ErrNoMemory):
		c.respondError(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeOverloaded, err.Error(), defaultRetryAfter))
	case errors.Is(err, callerbody.ErrEvicted):
		c.respondError(http.StatusRequestTimeout, verdict.NewRejection(verdict.CodeSlowBody, err.Error(), defaultRetryAfter))
	case errors.Is(err, os.ErrDeadlineExceeded):
		reject(http.StatusRequestTimeout, verdict.CodeSlowBody, "the body did not come in time")
	default:
		reject(http.StatusBadRequest, verdict.CodeBadRequest, "body not read: "+err.Error())
	}
}

// clearReadDeadline removes the read deadline, so that from here on a failed read
// means that the caller has disconnected.
func (c *call) clearReadDeadline() bool {
	if err := http.NewResponseController(c.writer).SetReadDeadline(time.Time{}); err != nil {
		c.respondError(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeInternal, err.Error(), defaultRetryAfter))
		return false
	}
	return true
}

// remaining returns the time until the deadline.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// run serves a prepared request, unless it is quarantined.
func (c *call) run() {
	rejection := c.acceptedByShutdown()
	if rejection == nil {
		rejection = c.checkQuarantine()
	}
	if rejection != nil {
		c.fail(rejection)
		return
	}
	if c.runsAlone() {
		c.runSuspected()
	} else {
		c.dispatch()
	}
}

// dispatch serves the request by the kind of its service.
func (c *call) dispatch() {
	if rejection := c.resolveStreamVersion(); rejection != nil {
		c.fail(rejection)
		return
	}
	if c.usesEngines() {
		c.runModel()
		return
	}
	c.runPlain()
}

// usesEngines reports whether the request is served by model engines.
func (c *call) usesEngines() bool { return c.route.Model && c.service.Engine != nil }

// pathOf returns the path of a request target as it was sent.
func pathOf(target string) string {
	if i := strings.IndexByte(target, '?'); i >= 0 {
		target = target[:i]
	}
	if strings.HasPrefix(target, "/") {
		return target
	}
	// The target is in absolute form, with scheme and host.
	if i := strings.Index(target, "://"); i >= 0 {
		if j := strings.IndexByte(target[i+3:], '/'); j >= 0 {
			return target[i+3+j:]
		}
	}
	return target
}
