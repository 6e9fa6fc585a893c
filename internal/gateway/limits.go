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

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/decide/ratelimit"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
)

// invalidEvery spaces the log lines on limits that are not understood.
const invalidEvery = 10 * time.Second

// limits is what this gateway knows of the limits that servers name.
type limits struct {
	// servers is how many have a limit. While it is 0, requests pass without the lock.
	servers atomic.Int32

	mu    sync.Mutex
	table *ratelimit.Table
	share Gossip
	// membership is that by which the gateways were ranked last.
	membership uint64
	// invalidAt is when a limit that is not understood was last logged.
	invalidAt time.Time

	named, invalid, unknown metrics.Counter
	limited                 metrics.Gauge
}

func newLimits() *limits {
	l := &limits{
		share:   noShare{},
		named:   metrics.GetOrRegisterCounter("gateway.server_limits_named", nil),
		invalid: metrics.GetOrRegisterCounter("gateway.server_limits_invalid", nil),
		unknown: metrics.GetOrRegisterCounter("gateway.server_limits_unknown", nil),
		limited: metrics.GetOrRegisterGauge("gateway.servers_limited", nil),
	}
	l.table = ratelimit.New(func(server string, round uint64) ratelimit.Rank { return l.share.RankFor(server, round) })
	return l
}

// answered takes in what the head of an answer says of its server's limit.
func (l *limits) answered(a direct.Answered) {
	if a.Limit.Invalid != "" {
		l.logInvalid(a)
		return
	}
	if (!a.Limit.Limited && l.servers.Load() == 0) || !saysLimit(a) {
		return
	}
	heard := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := ratelimit.Notice{
		Server: a.Server.Instance(), Limited: a.Limit.Limited, PerSecond: a.Limit.PerSecond,
		RequestedAt: heard - time.Since(a.Sent), ReceivedAt: heard, Unauthenticated: !a.Sealed,
	}
	if l.add(heard, "", n) != ratelimit.Unchanged {
		l.share.AnnounceServerLimit(n)
	}
}

// saysLimit reports whether an answer can say something of its server's limit. One that
// another server gave cannot, and a success without authentication code may be anybody's.
func saysLimit(a direct.Answered) bool {
	if a.Status == http.StatusMisdirectedRequest {
		return false
	}
	return a.Sealed || a.NotRun || a.Stage == request.PrefillOnly
}

// add takes in a notice and logs what it changed. from names the gateway that told it, and
// is empty for an answer that came here.
func (l *limits) add(now time.Duration, from string, n ratelimit.Notice) ratelimit.Change {
	before, _ := l.table.Limit(n.Server.ID)
	change := l.table.Add(now, n)
	if change == ratelimit.Unchanged {
		return change
	}
	l.count()
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

// allows reports whether this gateway may send a request to a server now.
func (l *limits) allows(server string) bool {
	if l.servers.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.table.Tracks(server) || l.table.Allows(boottime.Now(), server)
}

// has reports whether a server names a limit.
func (l *limits) has(server string) bool {
	if l.servers.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.table.Limit(server)
	return ok
}

// take notes a request to a server.
func (l *limits) take(server string) {
	if l.servers.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Tracks(server) {
		l.table.Take(boottime.Now(), server)
	}
}

// wait returns after how long the first of some servers has room for a request.
func (l *limits) wait(servers []string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	return slices.Min(lo.Map(servers, func(id string, _ int) time.Duration { return l.table.RetryAfter(now, id) }))
}

// NamesLimit reports whether a server names a limit of its own.
func (g *Gateway) NamesLimit(server string) bool { return g.limits.has(server) }

// RemoteServerLimit takes in what a server said of its limit to another gateway. Of a
// server that is not known here it is dropped: it is told again.
func (g *Gateway) RemoteServerLimit(from string, n ratelimit.Notice) {
	if _, ok := g.directory.View().Servers[n.Server.ID]; !ok {
		g.limits.unknown.Inc(1)
		return
	}
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	g.limits.add(boottime.Now(), from, n)
}

// TellLimits tells again what other gateways may not know yet, and takes in which
// gateways there are.
func (g *Gateway) TellLimits(time.Time) {
	l := g.limits
	if l.servers.Load() == 0 {
		return
	}
	g.engines.joinGroup()
	l.forget(g.directory.View())
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	if m := l.share.MembershipVersion(); m != l.membership {
		l.membership = m
		l.table.UpdateRanks(now)
	}
	for _, n := range l.table.PendingAnnouncements(now, mostRetold) {
		l.share.ReannounceServerLimit(n)
	}
}

// count tells how many servers have a limit.
func (l *limits) count() {
	l.servers.Store(int32(l.table.Len()))
	l.limited.Update(int64(l.table.Len()))
}

// forget drops the limits of servers that are gone.
func (l *limits) forget(v *directory.View) {
	if l.servers.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Prune(boottime.Now(), func(server string) bool {
		_, ok := v.Servers[server]
		return ok
	})
	l.count()
}

// logInvalid logs a limit that is not understood.
func (l *limits) logInvalid(a direct.Answered) {
	l.invalid.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.invalidAt) < invalidEvery {
		return
	}
	l.invalidAt = time.Now()
	log.WithField("server", a.Server.ID).WithField("limit", a.Limit.Invalid).Warn("server's limit not understood, what was known of it stays")
}

// dump returns a server's limit for operators, nil if it names none.
func (l *limits) dump(server string) *LimitDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond, ok := l.table.Limit(server)
	if !ok {
		return nil
	}
	return &LimitDump{PerSecond: perSecond, Part: l.table.Share(boottime.Now(), server)}
}
