// Package serverhealth holds what a gateway knows of the outcomes of attempts at backend
// servers, its own and those of the other gateways, and finds the servers that fail more
// often than their peers.
//
// It guards against a server that passes its health check and answers errors: no gateway by
// itself sees more than a few requests a second at each of many servers, so that each would
// lose several requests there before it could tell the server from its peers. The decision is
// that of the package outlier, for each service and role of its engines. The package has no
// I/O; its locks are held for some microseconds.
package serverhealth

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/outlier"
)

const (
	// halfLife is the half-life of outcomes: a server that has recovered is probed some
	// seconds after its last failures.
	halfLife = 2 * time.Second
	// minFailures is how many failures beyond those of the peers lower a server's weight: one
	// may be chance, two within a half-life where the peers have none are not.
	minFailures = 1.2
	// quietTime is the time after the last failure in a group from which its outcomes are
	// neither compared nor announced. Nothing of the evidence is left by then.
	quietTime = 8 * halfLife
	// announceInterval is the shortest time between announcements of successes, without
	// failures, in a group that is not quiet.
	announceInterval = 200 * time.Millisecond
	// summaryInterval is the time between two summaries of the outcomes at servers whose
	// weights are lowered.
	summaryInterval = 500 * time.Millisecond
	// summaryUnit is the unit of the counts in a summary: after decay they are fractions.
	summaryUnit = 0.1
	// maxAnnounced limits the counts in one message of another gateway: more attempts at one
	// server do not end within the time that is covered.
	maxAnnounced = 1_000
)

// Outcome counts attempts at a server that have ended since they were last announced.
type Outcome struct {
	// Server is the hash of the server's ID.
	Server            uint32
	Succeeded, Failed uint32
	// Summary is set if the counts are instead all that the sender knows of the attempts of
	// all gateways, after decay, in units of summaryUnit. It makes up for lost announcements,
	// and tells a gateway that has just started what the others know.
	Summary bool
}

// Tracker tracks the servers of all services. It is safe for concurrent use.
type Tracker struct {
	// announce announces outcomes to the other gateways. It must not block. Those with
	// failures are urgent.
	announce func(outcomes []Outcome, urgent bool)

	mu     sync.Mutex
	groups map[groupKey]*group
	// servers maps the IDs of servers to their groups, names their hashes to their IDs.
	servers map[string]groupKey
	names   map[uint32]string
	// incarnations are the starts of the servers to which their outcomes belong.
	incarnations map[string]int64

	failures, lowered, restored metrics.Counter
}

// groupKey identifies servers that do the same work.
type groupKey struct {
	service string
	role    backend.Role
}

// group is the servers of one service and role.
type group struct {
	detector *outlier.Detector
	// failedAt is when a failure last became known, zero if none has.
	failedAt time.Time
	// pending are the outcomes of this gateway that have not been announced.
	pending     map[string]*pending
	announcedAt time.Time
	// summarizedAt is when a summary was last announced.
	summarizedAt time.Time
	// outliers are the servers whose weights were lowered at the last comparison.
	outliers map[string]outlier.Status
}

type pending struct {
	succeeded, failed float64
	decayedAt         time.Time
}

// New returns a Tracker without servers.
func New(announce func(outcomes []Outcome, urgent bool)) *Tracker {
	return &Tracker{
		announce: announce,
		groups:   make(map[groupKey]*group), servers: make(map[string]groupKey), names: make(map[uint32]string),
		incarnations: make(map[string]int64),
		failures:     metrics.GetOrRegisterCounter("serverhealth.failures", nil),
		lowered:      metrics.GetOrRegisterCounter("serverhealth.weights_lowered", nil),
		restored:     metrics.GetOrRegisterCounter("serverhealth.weights_restored", nil),
	}
}

// Hash returns the short identifier of a server in messages between gateways.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Update sets the servers to those of a new view.
func (t *Tracker) Update(servers map[string]backend.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.servers)
	clear(t.names)
	members := make(map[groupKey][]string)
	for id, s := range servers {
		key := groupKey{service: s.Service, role: s.Role}
		t.servers[id], t.names[Hash(id)] = key, id
		members[key] = append(members[key], id)
		if g, ok := t.groups[key]; ok && t.incarnations[id] != s.Incarnation {
			// A restarted server has none of the faults of before.
			g.detector.Forget(id)
			delete(g.pending, id)
		}
		t.incarnations[id] = s.Incarnation
	}
	maps.DeleteFunc(t.incarnations, func(id string, _ int64) bool { _, ok := servers[id]; return !ok })
	maps.DeleteFunc(t.groups, func(key groupKey, _ *group) bool { return len(members[key]) == 0 })
	for key, ids := range members {
		g, ok := t.groups[key]
		if !ok {
			g = &group{
				detector: outlier.New(outlier.Config{HalfLife: halfLife, MinFailures: minFailures, MaxServers: math.MaxInt}),
				pending:  make(map[string]*pending),
			}
			t.groups[key] = g
		}
		g.detector.SetPeers(ids)
		maps.DeleteFunc(g.pending, func(id string, _ *pending) bool { return t.servers[id] != key })
	}
}

// Observe records the outcome of an attempt of this gateway and announces it.
func (t *Tracker) Observe(now time.Time, id string, failed bool) {
	t.observe(now, id, failed, true)
}

// ObserveUnanswered records that a connection broke before the server answered. It is not
// announced: with a network partition, others may reach the server.
func (t *Tracker) ObserveUnanswered(now time.Time, id string) { t.observe(now, id, true, false) }

func (t *Tracker) observe(now time.Time, id string, failed, announced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.groups[t.servers[id]]
	if !ok {
		return
	}
	succeeded, failures := 1.0, 0.0
	if failed {
		succeeded, failures = 0, 1
		g.failedAt = now
		t.failures.Inc(1)
	}
	g.detector.Add(now, id, succeeded, failures)
	if announced {
		p, ok := g.pending[id]
		if !ok {
			p = &pending{decayedAt: now}
			g.pending[id] = p
		}
		p.decay(now)
		p.succeeded += succeeded
		p.failed += failures
	}
	switch {
	case failed && announced:
		t.flush(now, g, true)
	case !g.quiet(now) && now.Sub(g.announcedAt) >= announceInterval:
		t.flush(now, g, false)
	}
}

// Remote records outcomes that another gateway announced.
func (t *Tracker) Remote(now time.Time, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, ok := t.names[o.Server]
	if !ok {
		return
	}
	g := t.groups[t.servers[id]]
	succeeded, failed := float64(min(o.Succeeded, maxAnnounced)), float64(min(o.Failed, maxAnnounced))
	if o.Summary {
		g.detector.Raise(now, id, summaryUnit*succeeded, summaryUnit*failed)
	} else {
		g.detector.Add(now, id, succeeded, failed)
	}
	if o.Failed == 0 {
		return
	}
	quiet := g.quiet(now)
	g.failedAt = now
	if quiet {
		// The other gateways need the successes to judge the failure.
		t.flush(now, g, false)
	}
}

// quiet reports whether no failure is known that still counts.
func (g *group) quiet(now time.Time) bool {
	return g.failedAt.IsZero() || now.Sub(g.failedAt) >= quietTime
}

// flush announces the pending outcomes of a group. Fractions of outcomes, which remain of
// those that have been pending for long, stay pending.
func (t *Tracker) flush(now time.Time, g *group, urgent bool) {
	g.announcedAt = now
	var outcomes []Outcome
	for id, p := range g.pending {
		p.decay(now)
		succeeded, failed := math.Floor(p.succeeded), math.Round(p.failed)
		if succeeded+failed == 0 {
			continue
		}
		outcomes = append(outcomes, Outcome{Server: Hash(id), Succeeded: uint32(succeeded), Failed: uint32(failed)})
		p.succeeded -= succeeded
		p.failed = 0
	}
	if len(outcomes) > 0 {
		t.announce(outcomes, urgent)
	}
}

func (p *pending) decay(now time.Time) {
	if dt := now.Sub(p.decayedAt); dt > 0 {
		p.succeeded *= math.Exp2(-dt.Seconds() / halfLife.Seconds())
		p.decayedAt = now
	}
}

// FailureRates returns the probabilities, beyond those of their peers, with which servers of
// a service fail a request; nil if none fails more often than its peers. Servers that are
// probed are left out for a request that may be repeated.
func (t *Tracker) FailureRates(now time.Time, service string, repeatable bool) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rates map[string]float64
	for _, role := range [...]backend.Role{backend.NoRole, backend.Prefill, backend.Decode} {
		key := groupKey{service: service, role: role}
		g, ok := t.groups[key]
		if !ok || (g.quiet(now) && len(g.outliers) == 0) {
			continue
		}
		for id, s := range t.compare(now, key, g) {
			if s.Probing && repeatable {
				continue
			}
			if rates == nil {
				rates = make(map[string]float64)
			}
			rates[id] = 1 - s.Weight
		}
	}
	return rates
}

// Status returns how a server compares with its peers; nil if its weight is not lowered.
func (t *Tracker) Status(now time.Time, id string) *outlier.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := t.servers[id]
	g, ok := t.groups[key]
	if !ok {
		return nil
	}
	if s, ok := t.compare(now, key, g)[id]; ok {
		return &s
	}
	return nil
}

// compare returns the servers of a group whose weights are lowered and logs the changes. It
// runs when the weights are used: a gateway hears of more failures than it sends requests.
func (t *Tracker) compare(now time.Time, key groupKey, g *group) map[string]outlier.Status {
	current := g.detector.Outliers(now)
	for id, s := range current {
		if _, known := g.outliers[id]; !known {
			t.lowered.Inc(1)
			logChange(key, id, s).Warn("server fails more often than its peers, gets fewer requests")
		}
	}
	for id, s := range g.outliers {
		if _, still := current[id]; !still {
			t.restored.Inc(1)
			logChange(key, id, s).Info("server gets its usual requests again")
		}
	}
	g.outliers = current
	if len(current) > 0 && now.Sub(g.summarizedAt) >= summaryInterval {
		g.summarizedAt = now
		t.announce(lo.MapToSlice(current, summaryOf), false)
	}
	return current
}

func summaryOf(id string, s outlier.Status) Outcome {
	failed := s.ErrorRate * s.Attempts
	return Outcome{
		Server: Hash(id), Summary: true,
		Succeeded: uint32((s.Attempts - failed) / summaryUnit), Failed: uint32(failed / summaryUnit),
	}
}

func logChange(key groupKey, id string, s outlier.Status) *log.Entry {
	return log.WithFields(log.Fields{
		"server": id, "service": key.service, "role": string(key.role),
		"error_rate": round(s.ErrorRate), "peer_error_rate": round(s.PeerErrorRate), "weight": round(s.Weight),
	})
}

func round(x float64) float64 { return math.Round(x*100) / 100 }
