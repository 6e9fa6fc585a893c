package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/balance"
	"pistachioroad.dev/pistachioroad/internal/decide/contention"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// failureAvoidTime is how long a failed server is avoided if there are others: long enough to
// spare most requests, short enough to notice its recovery.
const failureAvoidTime = 1500 * time.Millisecond

// plainBalancer balances requests over the servers of plain services, which are
// those without model engines.
type plainBalancer struct {
	statements *serverStatements
	gossip     Gossip
	mu         sync.Mutex
	balancer   *balance.Balancer
	// byHash maps the hashes of servers in announcements to their IDs.
	byHash map[uint32]string

	announced, received metrics.Counter
}

func newPlainBalancer(s *serverStatements) *plainBalancer {
	return &plainBalancer{
		statements: s, gossip: noGossip{}, balancer: balance.New(),
		announced: metrics.GetOrRegisterCounter("gateway.server_reports_announced", nil),
		received:  metrics.GetOrRegisterCounter("gateway.server_reports_received", nil),
	}
}

// update sets the servers to those of a new view.
func (p *plainBalancer) update(v *directory.View) {
	byHash := make(map[uint32]string)
	for id, s := range v.Servers {
		if s.Role == backend.NoRole {
			byHash[place.EngineHash(id)] = id
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byHash = byHash
	p.balancer.Prune(func(id string) bool {
		_, exists := v.Servers[id]
		return exists
	})
}

// choose chooses an eligible server and counts a request there. failureRates has the servers
// that fail more often than their peers.
func (p *plainBalancer) choose(now time.Time, servers []backend.Server, dataCentre string, exclude func(id string) bool, failureRates map[string]float64) (backend.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers = lo.Reject(servers, func(s backend.Server, _ int) bool { return exclude(s.ID) })
	candidates := lo.Map(servers, func(s backend.Server, _ int) balance.Server {
		return balance.Server{ID: s.ID, Slots: s.Slots, Remote: s.DataCentre != dataCentre, FailureRate: failureRates[s.ID]}
	})
	chosen, ok := p.balancer.Choose(now, candidates, rand.Float64)
	if !ok {
		return backend.Server{}, false
	}
	p.statements.countSend(servers[chosen].ID)
	return servers[chosen], true
}

// reported records the load that a server has reported to this gateway, and announces it where
// servers report contention.
func (p *plainBalancer) reported(now time.Time, id string, l backend.Load) {
	r := balance.Report{Busy: l.Running + l.Waiting, Contention: l.Contention, At: now}
	if p.record(now, id, r) {
		p.announced.Inc(1)
		p.gossip.AnnounceServerReport(id, r)
	}
}

// record records a report of a server. It reports whether other gateways should know it.
func (p *plainBalancer) record(now time.Time, id string, r balance.Report) (share bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Report(now, id, r)
}

// done records the outcome of a request at a server.
func (p *plainBalancer) done(id string, reply *direct.Reply, v verdict.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Done(id)
	if reply == nil && v != verdict.NotRun {
		p.balancer.Avoid(id, time.Now().Add(failureAvoidTime))
	}
}

// avoid makes other requests avoid a server that is silent.
func (p *plainBalancer) avoid(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Avoid(id, time.Now().Add(failureAvoidTime))
}

// contention returns the last contention that a server has reported.
func (p *plainBalancer) contention(id string) contention.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Contention(id)
}

// RemoteServerReport records what a server, given by its hash, has reported to another gateway.
func (g *Gateway) RemoteServerReport(hash uint32, r balance.Report) {
	p := g.plain
	p.mu.Lock()
	defer p.mu.Unlock()
	if id, ok := p.byHash[hash]; ok {
		p.received.Inc(1)
		p.balancer.RemoteReport(time.Now(), id, r)
	}
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
	reply, other, err := c.sendPlain(ctx, server, c.hedgePlain(c.ctx, server, cancel))
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

// sendPlain is send for a server that choosePlain has chosen. After a panic, the request does
// not count as open there any more.
func (c *call) sendPlain(ctx context.Context, server backend.Server, h *hedge) (*direct.Reply, *hedgedAttempt, *verdict.Error) {
	returned := false
	defer func() {
		if !returned {
			c.gateway.plain.done(server.ID, nil, verdict.NotRun)
		}
	}()
	reply, other, err := c.send(ctx, server, plainOptions, h)
	returned = true
	return reply, other, err
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
	reply, other, err := c.sendPlain(ctx, server, c.hedgePlain(search, server, cancel))
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
		c.abort(c.interruption(), "response from the backend server interrupted: "+err.Error())
	}
	c.finishAnswer(server, reply)
}
