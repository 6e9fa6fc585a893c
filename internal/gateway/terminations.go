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
	// probeTimeout limits the connection attempt that probes a server.
	probeTimeout = 500 * time.Millisecond
	// terminationWatchTime is how long a server is watched for termination after a
	// connection to it broke. The object of a crashed server expires after some
	// missed heartbeats.
	terminationWatchTime = 6 * time.Second
	// probeInterval is the pause between two probes of a server.
	probeInterval = 250 * time.Millisecond
	// aliveProbes is how many consecutive probes must find a server listening before
	// its broken connections count as a fault of the server or the network instead of
	// a termination.
	aliveProbes = 2
	// maxPendingServers limits the servers watched at a time, maxPendingRequests the
	// requests recorded for each.
	maxPendingServers  = 64
	maxPendingRequests = 256
	// suspectRetryAfter is the Retry-After for a suspected request that is already running.
	suspectRetryAfter = time.Second
	// maxLogged limits the requests or servers listed in one log line.
	maxLogged = 16
	// maxReannounced limits the announcements that are repeated at a time.
	maxReannounced = 48
)

// terminations records which requests were running when servers terminated. A
// request that terminates the servers that run it (a query of death) is quarantined.
type terminations struct {
	mu   sync.Mutex
	list *quarantine.List
	// pending holds, for instances that may have terminated, the requests whose
	// connections broke there, with the times at which they were sent.
	pending map[backend.Instance]map[request.Fingerprint]time.Time
	// running holds the suspected requests that are running at a server.
	running map[request.Fingerprint]struct{}
	gossip  Gossip

	// terminated counts the terminations that this gateway found.
	terminated metrics.Counter
}

func newTerminations() *terminations {
	return &terminations{
		list:       quarantine.New(),
		pending:    make(map[backend.Instance]map[request.Fingerprint]time.Time),
		running:    make(map[request.Fingerprint]struct{}),
		gossip:     noGossip{},
		terminated: metrics.GetOrRegisterCounter("gateway.servers_ended_under_requests", nil),
	}
}

// empty reports whether there is no evidence, in which case requests need no
// fingerprint.
func (t *terminations) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Len() == 0
}

// addPending records that a request's connection to a server broke. It returns true
// for the first one of an instance, which the caller must then watch.
func (t *terminations) addPending(s backend.Server, f request.Fingerprint, sentAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests, ok := t.pending[s.Instance()]
	if !ok {
		if len(t.pending) >= maxPendingServers {
			return false
		}
		requests = make(map[request.Fingerprint]time.Time)
		t.pending[s.Instance()] = requests
	}
	if len(requests) < maxPendingRequests && sentAt.After(requests[f]) {
		requests[f] = sentAt
	}
	return !ok
}

// resolve ends the watch of an instance. If it terminated, its pending requests
// become evidence; otherwise they are dropped.
func (t *terminations) resolve(s backend.Server, at time.Time, terminated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sentAt := t.pending[s.Instance()]
	requests := lo.Keys(sentAt)
	delete(t.pending, s.Instance())
	names := lo.Map(requests[:min(maxLogged, len(requests))], func(f request.Fingerprint, _ int) string { return f.String() })
	line := log.WithFields(log.Fields{
		"server": s.ID, "incarnation": s.Incarnation, "requests": len(requests), "fingerprints": strings.Join(names, " "),
		"after_ms": time.Since(at).Milliseconds(),
	})
	if !terminated {
		line.Info("connections to the server broke, it did not terminate")
		return
	}
	line.Info("server terminated while it ran requests")
	t.terminated.Inc(1)
	for _, f := range requests {
		t.addEvidence(quarantine.Evidence{Request: f, Instance: s.Instance(), SentAt: sentAt[f], ObservedAt: at})
	}
}

// addEvidence adds evidence found by this gateway and announces it if it is new.
func (t *terminations) addEvidence(evidence quarantine.Evidence) {
	if t.list.Add(time.Now(), evidence) {
		t.gossip.AnnounceTermination(evidence)
	}
}

// status returns the quarantine status of a request.
func (t *terminations) status(f request.Fingerprint) quarantine.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Status(time.Now(), f)
}

// beginSuspect records that a suspected request is about to run. It returns false if
// it is already running: at two servers, it could terminate both.
func (t *terminations) beginSuspect(f request.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.running[f]
	t.running[f] = struct{}{}
	return !ok
}

// endSuspect records that a suspected request no longer runs.
func (t *terminations) endSuspect(f request.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, f)
}

// clearSuspicion records that a suspected request completed, which clears it.
func (t *terminations) clearSuspicion(f request.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list.Status(time.Now(), f).Suspected() {
		t.addEvidence(quarantine.Evidence{Request: f, ObservedAt: time.Now()})
	}
}

// RemoteTermination adds evidence that another gateway announced.
func (g *Gateway) RemoteTermination(evidence quarantine.Evidence) {
	t := g.terminations
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list.Add(time.Now(), evidence)
}

// ReannounceTerminations repeats announcements that other gateways may have missed.
func (g *Gateway) ReannounceTerminations(now time.Time) {
	t := g.terminations
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, evidence := range t.list.PendingAnnouncements(now, maxReannounced) {
		t.gossip.ReannounceTermination(evidence)
	}
}

// watchTermination probes a server whose connections broke at the given time until
// it has terminated, proves to be alive or terminationWatchTime has elapsed.
func (g *Gateway) watchTermination(s backend.Server, at time.Time) {
	alive := 0
	for time.Since(at) < terminationWatchTime {
		switch g.probeInstance(s) {
		case direct.Absent:
			g.terminations.resolve(s, at, true)
			return
		case direct.Listening:
			if alive++; alive >= aliveProbes {
				g.terminations.resolve(s, at, false)
				return
			}
		case direct.Unknown:
			alive = 0
		}
		if !pause.Sleep(context.Background(), probeInterval) {
			break
		}
	}
	g.terminations.resolve(s, at, false)
}

// probeInstance checks whether an instance is there: by its object in the
// store, by whether another server has its address, and by a connection.
func (g *Gateway) probeInstance(s backend.Server) direct.Presence {
	v := g.directory.View()
	if current, ok := v.Servers[s.ID]; !ok || current.Incarnation != s.Incarnation || addressTaken(v, s) {
		return direct.Absent
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return direct.Probe(ctx, s)
}

// addressTaken reports whether another server is registered at a server's address.
func addressTaken(v *directory.View, s backend.Server) bool {
	return lo.ContainsBy(lo.Values(v.Servers), func(o backend.Server) bool { return o.Address == s.Address && o.ID != s.ID })
}

// reportBrokenConnection records that the connection to a server broke while the
// server may have been running the request. The termination of a draining or
// replaced server is expected and no evidence against the request.
func (c *call) reportBrokenConnection(s backend.Server) {
	end := broken
	if c.ctx.Err() != nil {
		end = canceled
	}
	a, open := c.takeOpen(s)
	if !open {
		return
	}
	c.trace.unfinished = append(c.trace.unfinished, s.ID+":"+string(end))
	if end == canceled {
		return
	}
	at := time.Now()
	current, ok := c.gateway.directory.View().Servers[s.ID]
	if !ok || current.Draining || current.Incarnation != s.Incarnation {
		return
	}
	if c.gateway.terminations.addPending(s, c.fingerprint(), a.sentAt) {
		go c.gateway.watchTermination(s, at)
	}
}

// fingerprint returns the request's fingerprint. It is computed once, on first use.
func (c *call) fingerprint() request.Fingerprint {
	if c.cachedFingerprint == 0 {
		c.cachedFingerprint = c.request.Fingerprint()
	}
	return c.cachedFingerprint
}

// checkQuarantine returns an error if the request is quarantined. It updates
// quarantineStatus.
func (c *call) checkQuarantine() *verdict.Error {
	t := c.gateway.terminations
	if t.empty() {
		return nil
	}
	c.quarantineStatus = t.status(c.fingerprint())
	if !c.quarantineStatus.Quarantined {
		return nil
	}
	return verdict.NewRejection(verdict.CodeQuarantined, "servers ended under this request: "+c.terminatedServers(), c.quarantineStatus.RetryAfter)
}

// terminatedServers lists the servers that terminated while they ran the request,
// with how long ago.
func (c *call) terminatedServers() string {
	return strings.Join(lo.Map(c.quarantineStatus.Terminations, func(e quarantine.Evidence, _ int) string {
		return e.Instance.ID + " " + time.Since(e.ObservedAt).Round(time.Millisecond).String() + " ago"
	}), ", ")
}

// runSuspected dispatches a suspected request unless it is already running. At two
// servers at a time, it could terminate both.
func (c *call) runSuspected() {
	t := c.gateway.terminations
	if !t.beginSuspect(c.fingerprint()) {
		c.fail(verdict.NewRejection(verdict.CodeQuarantined, "under suspicion, it runs at a server already", suspectRetryAfter))
		return
	}
	defer t.endSuspect(c.fingerprint())
	c.dispatch()
}

// clearSuspicion records that the request completed, if it did.
func (c *call) clearSuspicion() {
	t := c.gateway.terminations
	if c.verdict == verdict.Ran && c.trace.status < http.StatusInternalServerError && !t.empty() {
		t.clearSuspicion(c.fingerprint())
	}
}
