package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// probeTimeout bounds the connection that shows whether a server is there.
	probeTimeout = 500 * time.Millisecond
	// watchEnd is for how long it is looked whether a server has ended: the entry of
	// one that crashed lapses after some heartbeats.
	watchEnd = 6 * time.Second
	// probeAgain is the pause between two looks.
	probeAgain = 250 * time.Millisecond
	// aliveAfter is how many looks must find a server there for its broken connections
	// to be its own fault, or the network's.
	aliveAfter = 2
	// mostPending bounds the servers that are looked at, and the requests that are
	// noted for each.
	mostPending         = 64
	mostPendingRequests = 256
	// suspectRetry is when a request under suspicion may come back that runs already.
	suspectRetry = time.Second
	// mostLogged bounds the requests that a line names.
	mostLogged = 16
	// mostRetold bounds the pieces of evidence that are told again at a time.
	mostRetold = 48
)

// endings is what this gateway knows of servers that ended under requests.
type endings struct {
	mu   sync.Mutex
	list *quarantine.List
	// pending are the requests whose connections broke at an instance of which it is
	// not known yet whether it ended, with when they were sent there.
	pending map[backend.Instance]map[request.Fingerprint]time.Time
	// running are the requests under suspicion that run at a server now.
	running map[request.Fingerprint]struct{}
	share   Gossip

	ended metrics.Counter
}

func newEndings() *endings {
	return &endings{
		list:    quarantine.New(),
		pending: make(map[backend.Instance]map[request.Fingerprint]time.Time),
		running: make(map[request.Fingerprint]struct{}),
		share:   noShare{},
		ended:   metrics.GetOrRegisterCounter("gateway.servers_ended_under_requests", nil),
	}
}

// quiet reports whether nothing is known, so that no request needs a fingerprint.
func (e *endings) quiet() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list.Len() == 0
}

// broke notes that a request's connection to a server broke. It returns true if it is
// the first for that start of the server, which then is to be watched.
func (e *endings) broke(s backend.Server, f request.Fingerprint, began time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	requests, ok := e.pending[s.Instance()]
	if !ok {
		if len(e.pending) >= mostPending {
			return false
		}
		requests = make(map[request.Fingerprint]time.Time)
		e.pending[s.Instance()] = requests
	}
	if len(requests) < mostPendingRequests && began.After(requests[f]) {
		requests[f] = began
	}
	return !ok
}

// conclude turns what is pending for a server into evidence if it ended, or drops it.
func (e *endings) conclude(s backend.Server, at time.Time, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	began := e.pending[s.Instance()]
	requests := lo.Keys(began)
	delete(e.pending, s.Instance())
	names := lo.Map(requests[:min(mostLogged, len(requests))], func(f request.Fingerprint, _ int) string { return f.String() })
	line := log.WithFields(log.Fields{
		"server": s.ID, "incarnation": s.Incarnation, "requests": len(requests), "fingerprints": strings.Join(names, " "),
		"after_ms": time.Since(at).Milliseconds(),
	})
	if !ended {
		line.Info("connections broke, the server did not end")
		return
	}
	line.Info("server ended under requests")
	e.ended.Inc(1)
	for _, f := range requests {
		e.add(quarantine.Evidence{Request: f, Instance: s.Instance(), SentAt: began[f], ObservedAt: at})
	}
}

// add takes in this gateway's own evidence and tells it.
func (e *endings) add(evidence quarantine.Evidence) {
	if e.list.Add(time.Now(), evidence) {
		e.share.AnnounceTermination(evidence)
	}
}

// standing returns what is known of a request.
func (e *endings) standing(f request.Fingerprint) quarantine.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list.Status(time.Now(), f)
}

// begin notes that a request under suspicion goes to a server. It returns false if it
// is at one already: two would end.
func (e *endings) begin(f request.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.running[f]
	e.running[f] = struct{}{}
	return !ok
}

func (e *endings) end(f request.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, f)
}

// endedWell clears a request of suspicion.
func (e *endings) endedWell(f request.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.list.Status(time.Now(), f).Suspected() {
		e.add(quarantine.Evidence{Request: f, ObservedAt: time.Now()})
	}
}

// RemoteServerEnded takes in evidence of another gateway.
func (g *Gateway) RemoteTermination(evidence quarantine.Evidence) {
	e := g.endings
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list.Add(time.Now(), evidence)
}

// TellEndings tells again what other gateways may not know yet.
func (g *Gateway) TellEndings(now time.Time) {
	e := g.endings
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, evidence := range e.list.PendingAnnouncements(now, mostRetold) {
		e.share.ReannounceTermination(evidence)
	}
}

// watchEnding looks whether a server has ended whose connections broke at a moment.
func (g *Gateway) watchEnding(s backend.Server, at time.Time) {
	alive := 0
	for time.Since(at) < watchEnd {
		switch g.lookFor(s) {
		case direct.Absent:
			g.endings.conclude(s, at, true)
			return
		case direct.Listening:
			if alive++; alive >= aliveAfter {
				g.endings.conclude(s, at, false)
				return
			}
		case direct.Unknown:
			alive = 0
		}
		if !pause.For(context.Background(), probeAgain) {
			break
		}
	}
	g.endings.conclude(s, at, false)
}

// lookFor tells whether an instance is there: by its entry, by that of another one at
// its address, and by a connection.
func (g *Gateway) lookFor(s backend.Server) direct.Presence {
	v := g.directory.View()
	if there, ok := v.Servers[s.ID]; !ok || there.Incarnation != s.Incarnation || replaced(v, s) {
		return direct.Absent
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return direct.Probe(ctx, s)
}

// replaced reports whether another server has a server's address.
func replaced(v *directory.View, s backend.Server) bool {
	return lo.ContainsBy(lo.Values(v.Servers), func(o backend.Server) bool { return o.Address == s.Address && o.ID != s.ID })
}

// runBroke notes that the connection to a server broke while the server may have run
// the request. The end of a server that was about to leave is no evidence.
func (c *call) runBroke(s backend.Server) {
	if c.ctx.Err() != nil {
		return
	}
	c.trace.broke = true
	at := time.Now()
	there, ok := c.gateway.directory.View().Servers[s.ID]
	if !ok || there.Draining || there.Incarnation != s.Incarnation {
		return
	}
	if c.gateway.endings.broke(s, c.fingerprint(), c.sentAt) {
		go c.gateway.watchEnding(s, at)
	}
}

// fingerprint returns the request's. It is worked out once, and only if it is needed.
func (c *call) fingerprint() request.Fingerprint {
	if c.identity == 0 {
		c.identity = c.request.Fingerprint()
	}
	return c.identity
}

// examine returns why the request is not to be sent to a server, nil if it may be. It
// notes whether servers have ended under it.
func (c *call) examine() *verdict.Error {
	e := c.gateway.endings
	if e.quiet() {
		return nil
	}
	c.standing = e.standing(c.fingerprint())
	if !c.standing.Quarantined {
		return nil
	}
	return verdict.NewRejection(verdict.CodeQuarantined, "servers ended under this request: "+c.endedServers(), c.standing.RetryAfter)
}

// endedServers names the servers that ended under the request, with how long ago.
func (c *call) endedServers() string {
	return strings.Join(lo.Map(c.standing.Terminations, func(e quarantine.Evidence, _ int) string {
		return e.Instance.ID + " " + time.Since(e.ObservedAt).Round(time.Millisecond).String() + " ago"
	}), ", ")
}

// runSuspect runs a request under suspicion, if it does not run already: at two servers
// at a time it would end both.
func (c *call) runSuspect() {
	e := c.gateway.endings
	if !e.begin(c.fingerprint()) {
		c.fail(verdict.NewRejection(verdict.CodeQuarantined, "under suspicion, it runs at a server already", suspectRetry))
		return
	}
	defer e.end(c.fingerprint())
	c.runAnywhere()
}

// clear notes that the request ended well.
func (c *call) clear() {
	e := c.gateway.endings
	if c.verdict == verdict.Ran && c.trace.status < http.StatusInternalServerError && !e.quiet() {
		e.endedWell(c.fingerprint())
	}
}
