package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/availability"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// invalidLogInterval is the minimum time between log lines on invalid limits, and between
// those on invalid rests.
const invalidLogInterval = 10 * time.Second

// serverStatements tracks what servers state about themselves in their responses. It is
// the one place that says whether this gateway may send a request to a server now. All
// gateways together keep to the limit of a server; the rest is between each of them and
// the server.
type serverStatements struct {
	// count is the size of table. While it is 0, requests skip the lock.
	count atomic.Int32

	mu     sync.Mutex
	table  *availability.Table
	gossip Gossip
	// membership is the membership version at the last ranking.
	membership uint64
	// invalidLimitAt and invalidRestAt are when an invalid limit or rest was last logged.
	invalidLimitAt, invalidRestAt time.Time

	statementCounters
}

type statementCounters struct {
	// limitsNamed, leavingNamed and restsNamed count what servers began to state,
	// limitsInvalid and restsInvalid what could not be parsed, and limitsUnknown the
	// notices of unknown servers.
	limitsNamed, limitsInvalid, limitsUnknown metrics.Counter
	leavingNamed, restsNamed, restsInvalid    metrics.Counter
	limited, leaving, resting                 metrics.Gauge
}

func newServerStatements() *serverStatements {
	s := &serverStatements{
		gossip: noGossip{},
		statementCounters: statementCounters{
			limitsNamed:   metrics.GetOrRegisterCounter("gateway.server_limits_named", nil),
			limitsInvalid: metrics.GetOrRegisterCounter("gateway.server_limits_invalid", nil),
			limitsUnknown: metrics.GetOrRegisterCounter("gateway.server_limits_unknown", nil),
			leavingNamed:  metrics.GetOrRegisterCounter("gateway.server_leaving_named", nil),
			restsNamed:    metrics.GetOrRegisterCounter("gateway.server_rests_named", nil),
			restsInvalid:  metrics.GetOrRegisterCounter("gateway.server_rests_invalid", nil),
			limited:       metrics.GetOrRegisterGauge("gateway.servers_limited", nil),
			leaving:       metrics.GetOrRegisterGauge("gateway.servers_leaving", nil),
			resting:       metrics.GetOrRegisterGauge("gateway.servers_resting", nil),
		},
	}
	s.table = availability.New(func(server string, round uint64) ratelimit.Rank { return s.gossip.RankFor(server, round) })
	return s
}

// observe processes what the head of a response states about its server.
func (s *serverStatements) observe(info direct.ResponseInfo) {
	s.observeLimit(info)
	s.observeStatements(info)
}

// observeStatements records that a server is leaving or asks for rest, and logs the
// change. Other gateways learn it from their own responses.
func (s *serverStatements) observeStatements(info direct.ResponseInfo) {
	if info.Rest.Invalid != "" {
		s.logInvalidRest(info)
	}
	if (!info.Leaving && info.Rest.Duration == 0) || !isEvidence(info) {
		return
	}
	received := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.table.Observe(availability.Response{
		Server: info.Server.Instance(), Leaving: info.Leaving, Rest: info.Rest.Duration, ReceivedAt: received,
	})
	line := log.WithFields(log.Fields{
		"server": info.Server.ID, "incarnation": info.Server.Incarnation, "request": info.SentID, "status": info.Status,
	})
	if change.Leaving {
		s.leavingNamed.Inc(1)
		line.Info("server states that it is leaving")
	}
	if change.Rest {
		s.restsNamed.Inc(1)
		line.WithField("rest_ms", info.Rest.Duration.Milliseconds()).
			WithField("left_ms", (change.RestUntil - received).Milliseconds()).Info("server asks for rest")
	}
	s.updateCounts(received)
}

// observeLimit processes the limit in the head of a response, or its absence, and
// announces a change.
func (s *serverStatements) observeLimit(info direct.ResponseInfo) {
	if info.Limit.Invalid != "" {
		s.logInvalidLimit(info)
		return
	}
	if (!info.Limit.Limited && s.empty()) || !isEvidence(info) {
		return
	}
	received := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := ratelimit.Notice{
		Server: info.Server.Instance(), Limited: info.Limit.Limited, PerSecond: info.Limit.PerSecond,
		RequestedAt: received - time.Since(info.Sent), ReceivedAt: received, Unauthenticated: !info.Sealed,
	}
	if s.addNotice(received, "", n) != ratelimit.Unchanged {
		s.gossip.AnnounceServerLimit(n)
	}
}

// isEvidence reports whether a response is evidence of what its server states. One
// from a misdirected request is another server's, and a success without an
// authentication code may come from any program.
func isEvidence(info direct.ResponseInfo) bool {
	if info.Status == http.StatusMisdirectedRequest {
		return false
	}
	return info.Sealed || info.NotRun || info.Stage == request.PrefillOnly
}

// addNotice adds a notice to the table and logs the change. from is the gateway that
// announced it, "" for a notice from a response to this gateway.
func (s *serverStatements) addNotice(now time.Duration, from string, n ratelimit.Notice) ratelimit.Change {
	before, _ := s.table.Limits.Limit(n.Server.ID)
	change := s.table.Limits.Add(now, n)
	if change == ratelimit.Unchanged {
		return change
	}
	s.updateCounts(now)
	if change == ratelimit.Begun {
		s.limitsNamed.Inc(1)
	}
	fields := log.Fields{
		"server": n.Server.ID, "incarnation": n.Server.Incarnation, "change": change.String(),
		"per_second": n.PerSecond, "per_second_before": before,
		"age_ms": (now - n.ReceivedAt).Milliseconds(), "sent_ms_ago": (now - n.RequestedAt).Milliseconds(),
	}
	if from != "" {
		fields["from"] = from
	}
	log.WithFields(fields).Info("server's limit changed")
	return change
}

// empty reports whether no server states anything.
func (s *serverStatements) empty() bool { return s.count.Load() == 0 }

// check returns whether this gateway may send a request to a server now.
func (s *serverStatements) check(server backend.Instance) availability.Status {
	if s.empty() {
		return availability.Status{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Reading the clock is a system call, and a plan asks for every engine.
	if !s.table.Tracks(server.ID) {
		return availability.Status{}
	}
	return s.table.Check(boottime.Now(), server)
}

// withdrawn returns the same regardless of the server's limit.
func (s *serverStatements) withdrawn(server backend.Instance) availability.Status {
	if s.empty() {
		return availability.Status{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.Tracks(server.ID) {
		return availability.Status{}
	}
	return s.table.Withdrawn(boottime.Now(), server)
}

// earliest returns the status of the server that may be asked first, or false without
// servers.
func (s *serverStatements) earliest(servers []backend.Server) (first availability.Status, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	for i, server := range servers {
		if status := s.table.Check(now, server.Instance()); i == 0 || status.Earlier(first) {
			first = status
		}
	}
	return first, len(servers) > 0
}

// hasLimit reports whether a server states a limit.
func (s *serverStatements) hasLimit(server string) bool {
	if s.empty() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.table.Limits.Limit(server)
	return ok
}

// countSend counts a request against a server's limit.
func (s *serverStatements) countSend(server string) {
	if s.empty() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Limits.Tracks(server) {
		s.table.Limits.Take(boottime.Now(), server)
	}
}

// HasServerLimit reports whether a server states a limit.
func (g *Gateway) HasServerLimit(server string) bool { return g.statements.hasLimit(server) }

// IsResting reports whether a server wants no requests from this gateway for a while.
func (g *Gateway) IsResting(server string) bool {
	return g.statements.withdrawn(g.registered(server)).Reason == availability.Resting
}

// IsLeaving reports whether a server states that it is leaving.
func (g *Gateway) IsLeaving(server string) bool {
	return g.statements.withdrawn(g.registered(server)).Reason == availability.Leaving
}

// RemoteServerLimit adds a limit notice that another gateway announced. Notices of
// servers that are unknown here are dropped, because they are announced again.
func (g *Gateway) RemoteServerLimit(from string, n ratelimit.Notice) {
	if _, ok := g.directory.View().Servers[n.Server.ID]; !ok {
		g.statements.limitsUnknown.Inc(1)
		return
	}
	g.statements.mu.Lock()
	defer g.statements.mu.Unlock()
	g.statements.addNotice(boottime.Now(), from, n)
}

// ReannounceServerLimits repeats announcements that other gateways may have missed,
// and updates the ranks if the membership has changed.
func (g *Gateway) ReannounceServerLimits(time.Time) {
	s := g.statements
	if s.empty() {
		return
	}
	g.engines.joinGroup()
	s.update(g.directory.View())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if m := s.gossip.MembershipVersion(); m != s.membership {
		s.membership = m
		s.table.Limits.UpdateRanks(now)
	}
	for _, n := range s.table.Limits.PendingAnnouncements(now, maxReannounced) {
		s.gossip.ReannounceServerLimit(n)
	}
}

// update adapts the statements to the registered servers.
func (s *serverStatements) update(v *directory.View) {
	if s.empty() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	replaced := s.table.Update(now, func(id string) (backend.Instance, bool) {
		server, ok := v.Servers[id]
		return server.Instance(), ok
	})
	for _, i := range replaced {
		log.WithField("server", i.ID).WithField("incarnation", i.Incarnation).Info("server that was leaving or resting has been replaced")
	}
	s.updateCounts(now)
}

// updateCounts updates the numbers of servers that are limited, are leaving or rest.
func (s *serverStatements) updateCounts(now time.Duration) {
	s.count.Store(int32(s.table.Len()))
	leaving, resting := s.table.Counts(now)
	s.limited.Update(int64(s.table.Limits.Len()))
	s.leaving.Update(int64(leaving))
	s.resting.Update(int64(resting))
}

// logInvalidLimit counts and logs a limit that cannot be parsed.
func (s *serverStatements) logInvalidLimit(info direct.ResponseInfo) {
	s.limitsInvalid.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.invalidLimitAt) < invalidLogInterval {
		return
	}
	s.invalidLimitAt = time.Now()
	log.WithField("server", info.Server.ID).WithField("limit", info.Limit.Invalid).Warn("invalid server limit, the last known one stays")
}

// logInvalidRest counts and logs a rest that is no valid duration.
func (s *serverStatements) logInvalidRest(info direct.ResponseInfo) {
	s.restsInvalid.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.invalidRestAt) < invalidLogInterval {
		return
	}
	s.invalidRestAt = time.Now()
	log.WithField("server", info.Server.ID).WithField("request", info.SentID).WithField("rest", info.Rest.Invalid).Warn("invalid rest of a server, ignored")
}

// dumpStatements returns whether a server is leaving, and how much longer it rests.
func (s *serverStatements) dumpStatements(server backend.Instance) (leaving bool, rest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if until := s.table.RestUntil(now, server); until > 0 {
		rest = until - now
	}
	return s.table.Leaving(server), rest
}

// dumpLimit returns a server's limit for operators, or nil if it states none.
func (s *serverStatements) dumpLimit(server string) *LimitDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	perSecond, ok := s.table.Limits.Limit(server)
	if !ok {
		return nil
	}
	return &LimitDump{PerSecond: perSecond, Share: s.table.Limits.Share(boottime.Now(), server)}
}
