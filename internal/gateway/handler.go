package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/routes"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// unknownRetry is when a caller may come back while this process knows no
	// configuration, or cannot tell whether a route exists.
	unknownRetry = 300 * time.Millisecond
	// longestUnknownRetry is when a caller may come back at the latest while the store
	// answers nobody.
	longestUnknownRetry = 2 * time.Second
	// defaultConfigApply is how long a confirmed configuration may take to be in
	// force where the operators name no bound.
	defaultConfigApply = 2 * time.Second
	// defaultPatience is for callers that do not say how long they wait.
	defaultPatience = 30 * time.Second
	// bodyChunk is how much of a body of unknown length is accounted for at once.
	bodyChunk = 64 << 10
	// fieldOverhead is what separates a field's name and value, and ends it.
	fieldOverhead = 4
	// answerSlack is how long after its deadline a caller may still take an
	// answer.
	answerSlack = time.Second
	// defaultBodyLimit holds until a configuration names one.
	defaultBodyLimit = 4 << 20
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c := &call{gateway: g, writer: w, received: now, id: g.dialect.RequestID(r.Header)}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer c.logEnd()
	defer func() { g.bodies.release(c.bodyHeld) }()
	if !c.admit(r) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.caller = r.Context()
	c.run()
}

// call is one caller's request on its way.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	// ctx ends at the deadline, caller when the caller leaves.
	ctx, caller context.Context

	id       string
	received time.Time
	deadline time.Time
	view     *directory.View
	route    routes.Route
	service  routes.Service
	request  request.Request
	bodyHeld int64
	// identity is the request's fingerprint, 0 before it is needed, and standing what
	// was last known of servers that ended under it.
	identity request.Fingerprint
	standing quarantine.Status
	// sentAt is when it was last sent to a server.
	sentAt time.Time

	// verdict is the worst of all sends.
	verdict verdict.Verdict
	sends   int
	// prefills counts the sends that only had the prompt read.
	prefills int
	// exhausted says that the service's budget for repeated sends is used up.
	exhausted bool
	// ran counts the backend servers that may have run the request.
	ran int
	// started says that the head of the answer is out; lastEvent is the last
	// event that the caller has.
	started   bool
	lastEvent string
	// priority orders the request at engines.
	priority int
	// refusedBy are servers that are not tried again.
	refusedBy map[string]bool
	// limitedBy are servers whose own limits kept the request from them.
	limitedBy map[string]bool

	trace trace
}

// admit decodes and checks the request. It answers itself and returns false if
// the request cannot go on.
func (c *call) admit(r *http.Request) bool {
	g := c.gateway
	c.view = g.directory.View()
	if c.view.Table == nil {
		c.refuse(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeStoreUnavailable, "no configuration yet", c.unconfiguredRetry(r)))
		return false
	}
	route, ok := c.view.Table.Match(r.Host, pathOf(r.RequestURI))
	if !ok {
		c.unknownRoute()
		return false
	}
	c.route = route
	req, err := g.dialect.ParseRequest(r, c.received)
	if err != nil {
		c.refuse(http.StatusBadRequest, verdict.New(verdict.NotRun, verdict.CodeBadRequest, err.Error()))
		return false
	}
	c.request = req
	c.deadline = c.received.Add(c.patience())
	if !c.headFits(r) || !c.setDeadlines() || !c.readBody(r) {
		return false
	}
	c.chooseService()
	return true
}

// unconfiguredRetry is when the caller may come back to a gateway that knows no
// configuration. While the store answers no gateway, that is as late as the caller
// would: such an outage lasts for seconds, and a caller who returns within it is
// refused for good.
func (c *call) unconfiguredRetry(r *http.Request) time.Duration {
	if c.view.TableTold > 0 || !c.gateway.directory.StoreLost() {
		return unknownRetry
	}
	req, err := c.gateway.dialect.ParseRequest(r, c.received)
	if err != nil {
		return unknownRetry
	}
	c.request = req
	return min(max(unknownRetry, place.MaxRetryAfter(c.patience())), longestUnknownRetry)
}

// unknownRoute answers a request that no route takes. If the store has not
// confirmed the configuration within the operators' bound, or another gateway has a
// newer one, the route may have been added since: a caller who is told that there is
// none does not ask again, and one who is refused finds it a moment later.
func (c *call) unknownRoute() {
	if !c.view.Current(c.received, c.gateway.configApply()) {
		c.refuse(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeStoreUnavailable, "no such route in a configuration that may be old", unknownRetry))
		return
	}
	c.refuse(http.StatusNotFound, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no such route"))
}

// configApply is how long after its confirmation a configuration must be in force.
func (g *Gateway) configApply() time.Duration {
	if bound := g.deployment.Load().Bounds.ConfigApply; bound > 0 {
		return bound
	}
	return defaultConfigApply
}

// patience is how long the caller may be kept waiting.
func (c *call) patience() time.Duration {
	p := c.request.Timeout
	if p <= 0 {
		p = defaultPatience
	}
	if c.route.Timeout > 0 {
		p = min(p, c.route.Timeout)
	}
	return p
}

// headFits checks the head against the configuration's limit.
func (c *call) headFits(r *http.Request) bool {
	limit := c.view.Table.Limits.HeaderBytes
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	if limit > 0 && size > limit {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "head over the limit"))
		return false
	}
	return true
}

// setDeadlines bounds how long a caller that neither sends nor reads holds
// memory and a connection here.
func (c *call) setDeadlines() bool {
	control := http.NewResponseController(c.writer)
	read := control.SetReadDeadline(c.deadline)
	write := control.SetWriteDeadline(c.deadline.Add(answerSlack))
	if err := errors.Join(read, write); err != nil {
		c.refuse(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeInternal, err.Error(), unknownRetry))
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
	c.gateway.countRequest(name, c.received)
}

// readBody reads the body within the configuration's limit and this process's
// memory.
func (c *call) readBody(r *http.Request) bool {
	limit := c.view.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength > limit {
		c.refuse(http.StatusRequestEntityTooLarge, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body over the limit"))
		return false
	}
	if r.ContentLength == 0 {
		return c.endRead()
	}
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	reader := io.LimitReader(r.Body, limit+1)
	for {
		if !c.hold(bodyChunk) {
			c.refuse(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeOverloaded, "out of memory for bodies", unknownRetry))
			return false
		}
		_, err := io.CopyN(&buf, reader, bodyChunk)
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.refuse(http.StatusRequestTimeout, verdict.New(verdict.NotRun, verdict.CodeSlowBody, "the body did not come in time"))
			return false
		}
		if err != nil {
			c.refuse(http.StatusBadRequest, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "body not read: "+err.Error()))
			return false
		}
	}
	if int64(buf.Len()) > limit {
		c.refuse(http.StatusRequestEntityTooLarge, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body over the limit"))
		return false
	}
	c.request.Body = buf.Bytes()
	return c.endRead()
}

// endRead takes the read deadline off: from now on a read that ends means that
// the caller has left.
func (c *call) endRead() bool {
	if err := http.NewResponseController(c.writer).SetReadDeadline(time.Time{}); err != nil {
		c.refuse(http.StatusServiceUnavailable, verdict.NewRejection(verdict.CodeInternal, err.Error(), unknownRetry))
		return false
	}
	return true
}

// hold accounts for n more bytes of the body.
func (c *call) hold(n int64) bool {
	if !c.gateway.bodies.take(n) {
		c.gateway.bodies.release(c.bodyHeld)
		c.bodyHeld = 0
		return false
	}
	c.bodyHeld += n
	return true
}

// left is the time until the deadline.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// run sends the request on its way by what its service is.
func (c *call) run() {
	if refused := c.examine(); refused != nil {
		c.fail(refused)
		return
	}
	if c.standing.Suspected() {
		c.runSuspect()
	} else {
		c.runAnywhere()
	}
	c.clear()
}

func (c *call) runAnywhere() {
	if c.route.Model && c.service.Engine != nil {
		c.runModel()
		return
	}
	c.runPlain()
}

// pathOf returns the path of a request target as it was sent.
func pathOf(target string) string {
	if i := strings.IndexByte(target, '?'); i >= 0 {
		target = target[:i]
	}
	if strings.HasPrefix(target, "/") {
		return target
	}
	// An absolute target names the host once more.
	if i := strings.Index(target, "://"); i >= 0 {
		if j := strings.IndexByte(target[i+3:], '/'); j >= 0 {
			return target[i+3+j:]
		}
	}
	return target
}
