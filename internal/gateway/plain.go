package gateway

import (
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// loadBelieved is how long a server's own word on its load counts.
	loadBelieved = 400 * time.Millisecond
	// suspectFor keeps a server that failed out of the choice, if there are
	// others: long enough to spare most requests, short enough to see it back.
	suspectFor = 1500 * time.Millisecond
	// farPenalty is what another data centre weighs, in requests in flight: it
	// adds a millisecond to work of tens of them.
	farPenalty = 0.3
)

// plain balances requests over the servers of plain services.
type plain struct {
	limits  *limits
	mu      sync.Mutex
	servers map[string]*plainServer
}

type plainServer struct {
	inFlight     int
	load         backend.Load
	loadAt       time.Time
	suspectUntil time.Time
}

func newPlain(l *limits) *plain { return &plain{limits: l, servers: make(map[string]*plainServer)} }

func (p *plain) server(id string) *plainServer {
	s, ok := p.servers[id]
	if !ok {
		s = &plainServer{}
		p.servers[id] = s
	}
	return s
}

// forget drops the servers that are gone and work on nothing. Servers come and
// go under new names for as long as the process runs.
func (p *plain) forget(v *directory.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.servers, func(id string, s *plainServer) bool {
		_, there := v.Servers[id]
		return !there && s.inFlight == 0
	})
}

// choose returns the server with the least work, and counts a request there.
func (p *plain) choose(now time.Time, servers []backend.Server, dataCentre string, exclude func(id string) bool) (backend.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best backend.Server
	least := -1.0
	for _, s := range servers {
		if exclude(s.ID) {
			continue
		}
		if w := p.server(s.ID).work(now, s, dataCentre); least < 0 || w < least {
			best, least = s, w
		}
	}
	if least < 0 {
		return backend.Server{}, false
	}
	p.server(best.ID).inFlight++
	p.limits.take(best.ID)
	return best, true
}

// work is how busy a server is, in requests per slot.
func (s *plainServer) work(now time.Time, b backend.Server, dataCentre string) float64 {
	busy := float64(s.inFlight)
	if now.Sub(s.loadAt) < loadBelieved {
		// The server counts the requests of all entries.
		busy = max(busy, float64(s.load.Running+s.load.Waiting))
	}
	if b.DataCentre != dataCentre {
		busy += farPenalty
	}
	if now.Before(s.suspectUntil) {
		busy += suspectPenalty
	}
	return (busy + rand.Float64()*tieBreak) / float64(max(1, b.Slots))
}

const (
	// suspectPenalty is more than any load.
	suspectPenalty = 1e6
	// tieBreak spreads entries over servers that look alike.
	tieBreak = 0.2
)

// done takes the outcome of a request.
func (p *plain) done(id string, reply *direct.Reply, v verdict.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(id)
	s.inFlight--
	now := time.Now()
	if reply != nil && reply.LoadKnown {
		s.load, s.loadAt = reply.Load, now
	}
	if reply == nil && v != verdict.NotRun {
		s.suspectUntil = now.Add(suspectFor)
	}
}

// runPlain sends a request to a plain service.
func (c *call) runPlain() {
	g := c.gateway
	var last *verdict.Error
	for {
		servers := g.directory.View().Service(c.service.Name)
		server, ok := g.plain.choose(time.Now(), servers, g.deployment.Load().DataCentre, c.excluded)
		if !ok {
			if last == nil {
				last = c.noServer("no backend server")
			}
			break
		}
		reply, err := c.send(c.ctx, server, request.Options{Priority: request.DefaultPriority})
		if err == nil && reply.Status >= http.StatusInternalServerError && c.mayRepeat() {
			// A failure of a server's own is worth another try where that does
			// no harm.
			c.discard(reply, server)
			last = verdict.New(verdict.Ran, verdict.CodeBackendFailed, "the backend server failed")
			continue
		}
		if err == nil {
			c.deliver(reply, server)
			return
		}
		g.plain.done(server.ID, nil, err.Verdict)
		last = err
		if !c.mayRepeat() {
			break
		}
	}
	c.fail(last)
}

// discard drops an answer that is tried again elsewhere.
func (c *call) discard(reply *direct.Reply, server backend.Server) {
	c.gateway.plain.done(server.ID, reply, verdict.Ran)
	c.exclude(server)
	if _, err := io.Copy(io.Discard, io.LimitReader(reply.Body, copyBuffer)); err != nil {
		c.trace.message = "a failed answer broke off: " + err.Error()
	}
	reply.Body.Close()
}

// deliver passes an answer on.
func (c *call) deliver(reply *direct.Reply, server backend.Server) {
	defer reply.Body.Close()
	defer c.gateway.plain.done(server.ID, reply, verdict.Ran)
	c.head(reply)
	if err := c.pass(reply.Body); err != nil {
		c.runBroke(server)
		c.abort("the answer broke off: " + err.Error())
	}
}
