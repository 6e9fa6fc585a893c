package gateway

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// loadMaxAge is how long the load that a server reports is used.
	loadMaxAge = 400 * time.Millisecond
	// failureAvoidTime is how long a failed server is avoided if there are others:
	// long enough to spare most requests, short enough to notice its recovery.
	failureAvoidTime = 1500 * time.Millisecond
	// remotePenalty is added to the load of a server in another data centre, in
	// requests in flight: the distance adds a millisecond to requests that take
	// tens of milliseconds.
	remotePenalty = 0.3
	// failurePenalty is what a certain failure adds to the load per slot of a server: a
	// request waits behind four others per slot rather than being lost.
	failurePenalty = 4
)

// plainBalancer balances requests over the servers of plain services, which are
// those without model engines.
type plainBalancer struct {
	statements *serverStatements
	mu         sync.Mutex
	servers    map[string]*plainServer
}

type plainServer struct {
	inFlight   int
	load       backend.Load
	loadAt     time.Time
	avoidUntil time.Time
}

func newPlainBalancer(s *serverStatements) *plainBalancer {
	return &plainBalancer{statements: s, servers: make(map[string]*plainServer)}
}

func (p *plainBalancer) server(id string) *plainServer {
	s, ok := p.servers[id]
	if !ok {
		s = &plainServer{}
		p.servers[id] = s
	}
	return s
}

// prune removes servers that are gone and have no requests in flight. Without it,
// the map would grow, because restarted servers get new names.
func (p *plainBalancer) prune(v *directory.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.servers, func(id string, s *plainServer) bool {
		_, exists := v.Servers[id]
		return !exists && s.inFlight == 0
	})
}

// choose returns the eligible server with the lowest load and counts a request there.
func (p *plainBalancer) choose(now time.Time, servers []backend.Server, dataCentre string, exclude func(id string) bool, failureRates map[string]float64) (backend.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best backend.Server
	lowest := -1.0
	for _, s := range servers {
		if exclude(s.ID) {
			continue
		}
		if load := p.server(s.ID).loadPerSlot(now, s, dataCentre) + failurePenalty*failureRates[s.ID]; lowest < 0 || load < lowest {
			best, lowest = s, load
		}
	}
	if lowest < 0 {
		return backend.Server{}, false
	}
	p.server(best.ID).inFlight++
	p.statements.countSend(best.ID)
	return best, true
}

// loadPerSlot returns the load of a server in requests per slot, with penalties and a
// random tie-breaker.
func (s *plainServer) loadPerSlot(now time.Time, b backend.Server, dataCentre string) float64 {
	load := float64(s.inFlight)
	if now.Sub(s.loadAt) < loadMaxAge {
		// The server's report includes the requests of all gateways.
		load = max(load, float64(s.load.Running+s.load.Waiting))
	}
	if b.DataCentre != dataCentre {
		load += remotePenalty
	}
	if now.Before(s.avoidUntil) {
		load += avoidPenalty
	}
	return (load + rand.Float64()*tieBreakJitter) / float64(max(1, b.Slots))
}

const (
	// avoidPenalty exceeds any load.
	avoidPenalty = 1e6
	// tieBreakJitter spreads the gateways over servers of equal load.
	tieBreakJitter = 0.2
)

// done records the outcome of a request at a server.
func (p *plainBalancer) done(id string, reply *direct.Reply, v verdict.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	s.inFlight--
	now := time.Now()
	if reply != nil && reply.LoadKnown {
		s.load, s.loadAt = reply.Load, now
	}
	if reply == nil && v != verdict.NotRun {
		s.avoidUntil = now.Add(failureAvoidTime)
	}
}

// avoid makes other requests avoid a server that is silent.
func (p *plainBalancer) avoid(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(id).avoidUntil = time.Now().Add(failureAvoidTime)
}

// runPlain serves a request to a plain service. It chooses a server for each attempt.
func (c *call) runPlain() {
	var last *verdict.Error
	for first := true; first || c.mayRetry(); first = false {
		server, ok := c.choosePlain()
		if !ok {
			last = c.noEligibleError("no backend server", last)
			break
		}
		err := c.attemptPlain(server)
		if err == nil {
			return
		}
		if last == nil || !withheld(err) {
			last = err
		}
	}
	c.fail(last)
}

// choosePlain chooses a server for the next attempt.
func (c *call) choosePlain() (backend.Server, bool) {
	g := c.gateway
	servers := lo.Filter(g.directory.View().Service(c.service.Name), func(s backend.Server, _ int) bool {
		return c.streamVersion.Allows(streamversion.Of(s))
	})
	return g.plain.choose(time.Now(), servers, g.deployment.Load().DataCentre, c.excluded, c.failureRates())
}

// attemptPlain makes one attempt at a server. It returns nil if a response has been
// forwarded.
func (c *call) attemptPlain(server backend.Server) *verdict.Error {
	g := c.gateway
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	reply, other, err := c.send(ctx, server, plainOptions, c.hedgePlain(c.ctx, server, cancel))
	if other != nil {
		g.plain.done(server.ID, nil, verdict.MayHaveRun)
		defer other.cancel()
		c.trace.server = other.server.ID
		c.deliver(other.reply, other.server)
		return nil
	}
	if err != nil {
		g.plain.done(server.ID, nil, err.Verdict)
		return err
	}
	if c.repeatsAfter(server, reply) {
		c.discard(reply, server)
		return verdict.New(verdict.Ran, verdict.CodeBackendFailed, "the backend server failed")
	}
	c.deliver(reply, server)
	return nil
}

// plainOptions are the options of requests to plain services.
var plainOptions = request.Options{Priority: request.DefaultPriority}

// hedgePlain returns the hedge of an attempt at a server, or nil if the request may not
// run at another one.
func (c *call) hedgePlain(ctx context.Context, server backend.Server, cancel context.CancelFunc) *hedge {
	if !c.route.Repeatable() || c.route.MaxAttempts < 2 {
		return nil
	}
	plain := c.gateway.plain
	return &hedge{
		call: c, ctx: ctx, first: server, cancelFirst: cancel, next: c.tryOtherServer,
		discard: func(a *hedgedAttempt) {
			a.reply.Body.Close()
			plain.done(a.server.ID, nil, verdict.NotRun)
		},
		onSilence: func() { plain.avoid(server.ID) },
	}
}

// tryOtherServer makes one attempt at another server, with a hedge of its own.
func (c *call) tryOtherServer(search context.Context) (a *hedgedAttempt, again bool) {
	g := c.gateway
	if !c.holdRetries(sendAttempt, c.arrivals.ExtraAfterSend()) {
		return nil, true
	}
	server, ok := c.choosePlain()
	if !ok {
		return nil, true
	}
	ctx, cancel := context.WithCancel(search)
	reply, other, err := c.send(ctx, server, plainOptions, c.hedgePlain(search, server, cancel))
	if err == nil && other == nil && reply.Status < http.StatusInternalServerError {
		return &hedgedAttempt{server: server, reply: reply, cancel: cancel}, false
	}
	cancel()
	switch {
	case other != nil:
		g.plain.done(server.ID, nil, verdict.MayHaveRun)
	case err == nil:
		c.discard(reply, server)
	case search.Err() != nil:
		g.plain.done(server.ID, nil, verdict.NotRun)
	default:
		g.plain.done(server.ID, nil, err.Verdict)
	}
	return other, true
}

// discard drops a response because the request is retried at another server.
func (c *call) discard(reply *direct.Reply, server backend.Server) {
	if !c.discardAnswer(server, reply) {
		c.gateway.plain.done(server.ID, nil, verdict.MayHaveRun)
		return
	}
	c.gateway.plain.done(server.ID, reply, verdict.Ran)
}

// answerBody returns the body to forward. Of a stream that may be taken up, only whole
// events are forwarded.
func (c *call) answerBody(reply *direct.Reply, server backend.Server) io.Reader {
	if !c.route.Resumable || !continuesStream(reply) {
		return reply.Body
	}
	return &eventReader{source: reply.Body, onFirst: func() { c.fixStreamVersion(server) }}
}

// deliver forwards a response to the caller.
func (c *call) deliver(reply *direct.Reply, server backend.Server) {
	defer reply.Body.Close()
	outcome := reply
	defer func() { c.gateway.plain.done(server.ID, outcome, verdict.Ran) }()
	c.writeHead(reply)
	if err := c.copyBody(c.answerBody(reply, server)); err != nil {
		if c.callerCtx.Err() == nil && c.trace.readAhead == 0 {
			// Also at the deadline: the body of a faulty server may have no end.
			outcome = nil
		}
		c.breakAnswer(server)
		c.abort("response from the backend server interrupted: " + err.Error())
	}
	c.finishAnswer(server, reply)
}
