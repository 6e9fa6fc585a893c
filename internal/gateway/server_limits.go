package gateway

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

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

// serverLimits tracks the request rate limits that servers state in their
// responses. All gateways together keep to the limit of a server.
type serverLimits struct {
	// limitedServers is the size of table. While it is 0, requests skip the lock.
	limitedServers atomic.Int32

	mu     sync.Mutex
	table  *ratelimit.Table
	gossip Gossip
	// membership is the membership version at the last ranking.
	membership uint64
	// invalidAt is when an invalid limit was last logged.
	invalidAt time.Time

	// named counts servers that began to state a limit, invalid the limits that
	// could not be parsed, and unknown the notices of unknown servers.
	named, invalid, unknown metrics.Counter
	limited                 metrics.Gauge

	// statements are what servers state besides limits.
	statements *availability.Table
	// statementCount is the size of statements.
	statementCount atomic.Int32
	// invalidRestAt is when an invalid rest was last logged.
	invalidRestAt time.Time
	// leavingNamed and restsNamed count what servers began to state, restsInvalid the
	// rests that could not be parsed.
	leavingNamed, restsNamed, restsInvalid metrics.Counter
	leaving, resting                       metrics.Gauge
}

func newServerLimits() *serverLimits {
	l := &serverLimits{
		gossip:  noGossip{},
		named:   metrics.GetOrRegisterCounter("gateway.server_limits_named", nil),
		invalid: metrics.GetOrRegisterCounter("gateway.server_limits_invalid", nil),
		unknown: metrics.GetOrRegisterCounter("gateway.server_limits_unknown", nil),
		limited: metrics.GetOrRegisterGauge("gateway.servers_limited", nil),

		statements:   availability.New(),
		leavingNamed: metrics.GetOrRegisterCounter("gateway.server_leaving_named", nil),
		restsNamed:   metrics.GetOrRegisterCounter("gateway.server_rests_named", nil),
		restsInvalid: metrics.GetOrRegisterCounter("gateway.server_rests_invalid", nil),
		leaving:      metrics.GetOrRegisterGauge("gateway.servers_leaving", nil),
		resting:      metrics.GetOrRegisterGauge("gateway.servers_resting", nil),
	}
	l.table = ratelimit.New(func(server string, round uint64) ratelimit.Rank { return l.gossip.RankFor(server, round) })
	return l
}

// observe processes what the head of a response states about its server.
func (l *serverLimits) observe(info direct.ResponseInfo) {
	l.observeLimit(info)
	l.observeStatements(info)
}

// observeStatements records that a server is leaving or asks for rest, and logs the
// change. Other gateways learn it from their own responses.
func (l *serverLimits) observeStatements(info direct.ResponseInfo) {
	if info.Rest.Invalid != "" {
		l.logInvalidRest(info)
	}
	if (!info.Leaving && info.Rest.Duration == 0) || !isEvidence(info) {
		return
	}
	received := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	change := l.statements.Observe(availability.Response{
		Server: info.Server.Instance(), Leaving: info.Leaving, Rest: info.Rest.Duration, ReceivedAt: received,
	})
	line := log.WithFields(log.Fields{
		"server": info.Server.ID, "incarnation": info.Server.Incarnation, "request": info.SentID, "status": info.Status,
	})
	if change.Leaving {
		l.leavingNamed.Inc(1)
		line.Info("server states that it is leaving")
	}
	if change.Rest {
		l.restsNamed.Inc(1)
		line.WithField("rest_ms", info.Rest.Duration.Milliseconds()).
			WithField("left_ms", (change.RestUntil - received).Milliseconds()).Info("server asks for rest")
	}
	l.updateStatementCounts(received)
}

// observeLimit processes the limit in the head of a response, or its absence, and
// announces a change.
func (l *serverLimits) observeLimit(info direct.ResponseInfo) {
	if info.Limit.Invalid != "" {
		l.logInvalid(info)
		return
	}
	if (!info.Limit.Limited && l.limitedServers.Load() == 0) || !isEvidence(info) {
		return
	}
	received := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := ratelimit.Notice{
		Server: info.Server.Instance(), Limited: info.Limit.Limited, PerSecond: info.Limit.PerSecond,
		RequestedAt: received - time.Since(info.Sent), ReceivedAt: received, Unauthenticated: !info.Sealed,
	}
	if l.addNotice(received, "", n) != ratelimit.Unchanged {
		l.gossip.AnnounceServerLimit(n)
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
func (l *serverLimits) addNotice(now time.Duration, from string, n ratelimit.Notice) ratelimit.Change {
	before, _ := l.table.Limit(n.Server.ID)
	change := l.table.Add(now, n)
	if change == ratelimit.Unchanged {
		return change
	}
	l.updateCounts()
	if change == ratelimit.Begun {
		l.named.Inc(1)
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

// allows reports whether a server's limit allows a request from this gateway now.
func (l *serverLimits) allows(server string) bool {
	if l.limitedServers.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.table.Tracks(server) || l.table.Allows(boottime.Now(), server)
}

// has reports whether a server states a limit.
func (l *serverLimits) has(server string) bool {
	if l.limitedServers.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.table.Limit(server)
	return ok
}

// countSend counts a request against a server's limit.
func (l *serverLimits) countSend(server string) {
	if l.limitedServers.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Tracks(server) {
		l.table.Take(boottime.Now(), server)
	}
}

// retryAfter returns the time until the first of the given servers has room for a request.
func (l *serverLimits) retryAfter(servers []string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	return slices.Min(lo.Map(servers, func(id string, _ int) time.Duration { return l.table.RetryAfter(now, id) }))
}

// HasServerLimit reports whether a server states a limit.
func (g *Gateway) HasServerLimit(server string) bool { return g.limits.has(server) }

// RemoteServerLimit adds a limit notice that another gateway announced. Notices of
// servers that are unknown here are dropped, because they are announced again.
func (g *Gateway) RemoteServerLimit(from string, n ratelimit.Notice) {
	if _, ok := g.directory.View().Servers[n.Server.ID]; !ok {
		g.limits.unknown.Inc(1)
		return
	}
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	g.limits.addNotice(boottime.Now(), from, n)
}

// ReannounceServerLimits repeats announcements that other gateways may have missed,
// and updates the ranks if the membership has changed.
func (g *Gateway) ReannounceServerLimits(time.Time) {
	l := g.limits
	l.updateStatements(g.directory.View())
	if l.limitedServers.Load() == 0 {
		return
	}
	g.engines.joinGroup()
	l.prune(g.directory.View())
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	if m := l.gossip.MembershipVersion(); m != l.membership {
		l.membership = m
		l.table.UpdateRanks(now)
	}
	for _, n := range l.table.PendingAnnouncements(now, maxReannounced) {
		l.gossip.ReannounceServerLimit(n)
	}
}

// updateCounts updates the number of servers with a limit.
func (l *serverLimits) updateCounts() {
	l.limitedServers.Store(int32(l.table.Len()))
	l.limited.Update(int64(l.table.Len()))
}

// updateStatementCounts updates the numbers of servers that are leaving or rest.
func (l *serverLimits) updateStatementCounts(now time.Duration) {
	l.statementCount.Store(int32(l.statements.Len()))
	leaving, resting := l.statements.Counts(now)
	l.leaving.Update(int64(leaving))
	l.resting.Update(int64(resting))
}

// updateStatements adapts the statements to the registered servers.
func (l *serverLimits) updateStatements(v *directory.View) {
	if l.statementCount.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	replaced := l.statements.Update(now, func(id string) (backend.Instance, bool) {
		s, ok := v.Servers[id]
		return s.Instance(), ok
	})
	for _, i := range replaced {
		log.WithField("server", i.ID).WithField("incarnation", i.Incarnation).Info("server that was leaving or resting has been replaced")
	}
	l.updateStatementCounts(now)
}

// prune removes the limits of servers that are gone.
func (l *serverLimits) prune(v *directory.View) {
	if l.limitedServers.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Prune(boottime.Now(), func(server string) bool {
		_, ok := v.Servers[server]
		return ok
	})
	l.updateCounts()
}

// logInvalid counts and logs a limit that cannot be parsed.
func (l *serverLimits) logInvalid(info direct.ResponseInfo) {
	l.invalid.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.invalidAt) < invalidLogInterval {
		return
	}
	l.invalidAt = time.Now()
	log.WithField("server", info.Server.ID).WithField("limit", info.Limit.Invalid).Warn("invalid server limit, the last known one stays")
}

// logInvalidRest counts and logs a rest that is no valid duration.
func (l *serverLimits) logInvalidRest(info direct.ResponseInfo) {
	l.restsInvalid.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.invalidRestAt) < invalidLogInterval {
		return
	}
	l.invalidRestAt = time.Now()
	log.WithField("server", info.Server.ID).WithField("request", info.SentID).WithField("rest", info.Rest.Invalid).Warn("invalid rest of a server, ignored")
}

// dumpStatements returns whether a server is leaving, and how much longer it rests.
func (l *serverLimits) dumpStatements(server backend.Instance) (leaving bool, rest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	if until := l.statements.RestUntil(now, server); until > 0 {
		rest = until - now
	}
	return l.statements.Leaving(server), rest
}

// dump returns a server's limit for operators, or nil if it states none.
func (l *serverLimits) dump(server string) *LimitDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond, ok := l.table.Limit(server)
	if !ok {
		return nil
	}
	return &LimitDump{PerSecond: perSecond, Share: l.table.Share(boottime.Now(), server)}
}
