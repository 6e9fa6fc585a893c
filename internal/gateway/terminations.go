package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// suspectRetryAfter is the Retry-After for a suspected request that is already running.
	suspectRetryAfter = time.Second
	// maxLogged limits the requests or servers listed in one log line.
	maxLogged = 16
	// maxReannounced limits the announcements that are repeated at a time.
	maxReannounced = 28
)

// terminations records which requests were running when servers terminated. A
// request that terminates the servers that run it (a query of death) is quarantined.
type terminations struct {
	mu       sync.Mutex
	list     *quarantine.List
	segments *quarantine.Segments
	// blamed are the sets of segments that were blamed at the last log line, by their names.
	blamed map[string]quarantine.Blame
	// trials are the last rounds in which this gateway made a trial of each of them.
	trials map[string]uint64
	// running holds the suspected requests that are running at a server.
	running map[request.Fingerprint]struct{}
	gossip  Gossip

	// terminated counts the terminations that this gateway found.
	terminated metrics.Counter
	// blames is the number of sets of segments that are blamed.
	blames metrics.Gauge
}

func newTerminations() *terminations {
	return &terminations{
		list:       quarantine.New(),
		segments:   quarantine.NewSegments(),
		trials:     make(map[string]uint64),
		running:    make(map[request.Fingerprint]struct{}),
		gossip:     noGossip{},
		terminated: metrics.GetOrRegisterCounter("gateway.servers_ended_under_requests", nil),
		blames:     metrics.GetOrRegisterGauge("gateway.segment_sets_quarantined", nil),
	}
}

// empty reports whether there is no evidence, in which case requests need no
// fingerprint.
func (t *terminations) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Len() == 0 && t.segments.Empty()
}

// resolve records the outcome of attempts that ended at a server. If it terminated, they
// become evidence.
func (t *terminations) resolve(s backend.Server, o outcome) {
	logOutcome("server terminated while it ran requests", s, o.ended, o.at)
	logOutcome("connections to the server broke, it did not terminate", s, lo.Filter(o.survived, func(a *endedAttempt, _ int) bool {
		return a.end == broken
	}), time.Now())
	for _, a := range o.survived {
		if a.success {
			t.clearSuspicion(a.request, a.endedAt)
			t.completeSegments(a.segments)
		}
	}
	if len(o.ended) == 0 {
		return
	}
	t.terminated.Inc(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range o.ended {
		t.addEvidence(quarantine.Evidence{Request: a.request, Instance: s.Instance(), SentAt: a.sentAt, ObservedAt: o.at})
	}
	t.addCrash(s, o.at, o.ended)
}

// logOutcome logs the outcome of attempts, if there are any. at is when the server terminated.
func logOutcome(message string, s backend.Server, attempts []*endedAttempt, at time.Time) {
	if len(attempts) == 0 {
		return
	}
	names := lo.Map(attempts[:min(maxLogged, len(attempts))], func(a *endedAttempt, _ int) string { return a.request.String() })
	fields := log.Fields{
		"server": s.ID, "incarnation": s.Incarnation, "requests": len(attempts), "fingerprints": strings.Join(names, " "),
		"after_ms": time.Since(at).Milliseconds(),
	}
	for end, n := range lo.CountValuesBy(attempts, func(a *endedAttempt) attemptEnd { return a.end }) {
		fields[string(end)] = n
	}
	log.WithFields(fields).Info(message)
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

// clearSuspicion records that a request completed at the given time, which clears it if it was
// suspected.
func (t *terminations) clearSuspicion(f request.Fingerprint, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list.Status(time.Now(), f).Suspected() {
		t.addEvidence(quarantine.Evidence{Request: f, ObservedAt: at})
	}
}

// EvidenceVersion implements evidence.Source.
func (g *Gateway) EvidenceVersion() uint64 {
	t := g.terminations
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Version() + t.segments.Version()
}

// EvidenceSnapshot implements evidence.Source.
func (g *Gateway) EvidenceSnapshot() quarantine.Snapshot {
	t := g.terminations
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.list.Snapshot(time.Now())
	s.Crashes = t.segments.Snapshot(time.Now())
	return s
}

// RestoreEvidence implements evidence.Source.
func (g *Gateway) RestoreEvidence(s quarantine.Snapshot) {
	t := g.terminations
	t.mu.Lock()
	defer t.mu.Unlock()
	requests, segments := t.list.Restore(time.Now(), s), t.segments.Restore(time.Now(), s.Crashes)
	if requests+segments > 0 {
		log.WithField("requests", requests).WithField("segments", segments).Warn("invalid evidence of the store skipped")
	}
	t.logBlames()
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
	for _, crash := range t.segments.PendingAnnouncements(now, maxReannouncedCrashes) {
		t.gossip.ReannounceCrash(crash)
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
		return c.checkSegments()
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

// runsAlone reports whether the request may be at one server at a time only. Without a body, many
// callers send the same request, which one termination must not keep apart.
func (c *call) runsAlone() bool {
	terminations := len(c.quarantineStatus.Terminations)
	return terminations > 1 || (terminations == 1 && len(c.request.Body) > 0)
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

// clearSuspicion records that the request completed.
func (c *call) clearSuspicion() {
	if t := c.gateway.terminations; !t.empty() {
		t.clearSuspicion(c.fingerprint(), time.Now())
	}
}
