package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

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
	// invalidAt is when a limit that is not understood was last logged.
	invalidAt time.Time

	named, invalid metrics.Counter
	limited        metrics.Gauge
}

func newLimits() *limits {
	return &limits{
		table:   ratelimit.New(),
		named:   metrics.GetOrRegisterCounter("gateway.server_limits_named", nil),
		invalid: metrics.GetOrRegisterCounter("gateway.server_limits_invalid", nil),
		limited: metrics.GetOrRegisterGauge("gateway.servers_limited", nil),
	}
}

// answered takes in what the head of an answer says of its server's limit.
func (l *limits) answered(a direct.Answered) {
	if a.Limit.Invalid != "" {
		l.logInvalid(a)
		return
	}
	if (!a.Limit.Named && l.servers.Load() == 0) || !saysLimit(a) {
		return
	}
	heard := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(heard, "", ratelimit.Notice{
		Server: a.Server.Instance(), Named: a.Limit.Named, PerSecond: a.Limit.PerSecond,
		Sent: heard - time.Since(a.Sent), Heard: heard, Weak: !a.Sealed,
	})
}

// saysLimit reports whether an answer can say something of its server's limit. One that
// another server gave cannot, and a success without authentication code may be anybody's.
func saysLimit(a direct.Answered) bool {
	if a.Status == http.StatusMisdirectedRequest {
		return false
	}
	return a.Sealed || a.NotRun || a.Stage == request.PrefillOnly
}

// add takes in a notice and logs what it changed. From names the gateway that told it,
// and is empty for an answer of the server's own.
func (l *limits) add(now time.Duration, from string, n ratelimit.Notice) ratelimit.Change {
	before, _ := l.table.Limit(n.Server.ID)
	change := l.table.Add(n)
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
		"age_ms": (now - n.Heard).Milliseconds(), "sent_ms_ago": (now - n.Sent).Milliseconds(),
	}
	if from != "" {
		fields["from"] = from
	}
	log.WithFields(fields).Info("server's limit changed")
	return change
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
	l.table.Forget(boottime.Now(), func(server string) bool {
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
	return &LimitDump{PerSecond: perSecond}
}
