package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/pause"
	"pistachioroad.dev/pistachioroad/internal/request"
)

const (
	// probeTimeout limits the connection attempt that probes a server.
	probeTimeout = 500 * time.Millisecond
	// watchTime is how long a server is watched for termination after an attempt there has
	// ended. The object of a crashed server expires after some missed heartbeats.
	watchTime = 6 * time.Second
	// watchInterval is the pause between two looks at a server that is watched, and between
	// two probes after a broken connection.
	watchInterval = 250 * time.Millisecond
	// aliveProbes is how many probes must find a server listening before a broken
	// connection counts as a fault of the server or the network instead of a termination.
	aliveProbes = 2
	// aliveAfter is how long after the end of a canceled attempt a server must have been sent
	// a request that it has answered to be known to have survived the attempt: it may be
	// listening and silent, and may work on for a while. unframedAliveAfter is the same after an
	// answer that ended with its connection.
	aliveAfter         = 300 * time.Millisecond
	unframedAliveAfter = 100 * time.Millisecond
	// registrationTime is how long after it begins to listen a server that has started again
	// may take to be listed with its new start. An answer that a crash can end in the same way
	// proves nothing before the store has confirmed the list of servers after that.
	registrationTime = 500 * time.Millisecond
	// firstProbe is when a server is probed that has not answered a later request; the pause to
	// each further probe is twice as long.
	firstProbe = 400 * time.Millisecond
	// maxWatchedServers is the number of watched servers from which canceled attempts begin no
	// watch of another one, and from twice as many no attempts do; maxWatchedRequests limits
	// the requests recorded for each.
	maxWatchedServers  = 64
	maxWatchedRequests = 256
)

// endedAttempt is an attempt that ended while its server may have been running the request.
type endedAttempt struct {
	request request.Fingerprint
	// segments are those of a prompt on which the server may have been generating.
	segments        []quarantine.Segment
	sentAt, endedAt time.Time
	end             attemptEnd
	// success is set if the answer is complete unless the server has crashed.
	success bool
	// probeAt is when the server is probed next, probePause after the probe before. They are not
	// used for broken connections, after which it is probed at once and again.
	probeAt    time.Time
	probePause time.Duration
	// listening counts the probes since its end that found the server listening.
	listening int
	// aliveAt is when the server was first known to listen or answer after the end, zero before.
	aliveAt time.Time
}

// survived reports whether the server is known to have survived the attempt. answered is when
// the latest request that the server has answered was sent, and confirmed when the store last
// confirmed the list of servers.
func (a *endedAttempt) survived(now, answered, confirmed time.Time) bool {
	if !a.alive(answered) {
		return false
	}
	if a.aliveAt.IsZero() {
		a.aliveAt = now
	}
	return !a.success || !confirmed.Before(a.aliveAt.Add(registrationTime))
}

// alive reports whether a server listens, or answers, at the server's address after the attempt.
func (a *endedAttempt) alive(answered time.Time) bool {
	switch a.end {
	case canceled:
		return !answered.Before(a.endedAt.Add(aliveAfter))
	case unframed:
		return a.listening >= aliveProbes || !answered.Before(a.endedAt.Add(unframedAliveAfter))
	default:
		return a.listening >= aliveProbes
	}
}

// serverWatch is the watch of a server where attempts have ended.
type serverWatch struct {
	server   backend.Server
	attempts map[request.Fingerprint]*endedAttempt
	// answered is when the latest request that the server has answered was sent.
	answered time.Time
	// broke has an element after the connection of an attempt broke.
	broke chan struct{}
}

// outcome is what became of the attempts of a watch.
type outcome struct {
	// ended are the attempts at a server that has terminated, at the given time; survived
	// those that the server is known to have survived or that were watched for watchTime.
	ended, survived []*endedAttempt
	at              time.Time
}

// add records an attempt. Of several attempts of a request, the latest counts.
func (w *serverWatch) add(a endedAttempt) {
	if o, ok := w.attempts[a.request]; ok && !a.sentAt.After(o.sentAt) {
		return
	}
	if len(w.attempts) >= maxWatchedRequests {
		countUnwatched()
		return
	}
	a.probeAt, a.probePause = a.endedAt.Add(firstProbe), firstProbe
	w.attempts[a.request] = &a
	if a.end != broken {
		return
	}
	select {
	case w.broke <- struct{}{}:
	default:
	}
}

// countUnwatched counts an attempt that is no evidence, whatever becomes of its server, because
// too many are watched.
func countUnwatched() { metrics.GetOrRegisterCounter("gateway.attempts_unwatched", nil).Inc(1) }

// has reports whether an attempt ended in a given way.
func (w *serverWatch) has(end attemptEnd) bool {
	return lo.SomeBy(lo.Values(w.attempts), func(a *endedAttempt) bool { return a.end == end })
}

// needsProbe reports whether the server must be probed now.
func (w *serverWatch) needsProbe(now time.Time) bool {
	if w.has(broken) {
		return true
	}
	due := false
	for _, a := range w.attempts {
		if now.Before(a.probeAt) || !a.aliveAt.IsZero() {
			continue
		}
		due = true
		a.probePause *= 2
		a.probeAt = now.Add(a.probePause)
	}
	return due
}

// look is a look at a server.
type look struct {
	// began is when it began.
	began    time.Time
	presence direct.Presence
	// probed is set if the server was probed.
	probed bool
	// confirmed is when the store last confirmed the list of servers that was looked at.
	confirmed time.Time
}

// observe applies what a look at the server has found, and removes the attempts whose
// outcome is known by that.
func (w *serverWatch) observe(now time.Time, l look) outcome {
	if l.presence == direct.Absent {
		o := outcome{ended: lo.Values(w.attempts), at: w.terminatedAt(now)}
		clear(w.attempts)
		return o
	}
	var o outcome
	for f, a := range w.attempts {
		switch {
		case !l.probed || a.endedAt.After(l.began):
		case l.presence == direct.Listening:
			a.listening++
		default:
			a.listening = 0
		}
		survived := a.survived(now, w.answered, l.confirmed)
		if !survived && now.Sub(a.endedAt) < watchTime {
			continue
		}
		a.success = a.success && survived
		o.survived = append(o.survived, a)
		delete(w.attempts, f)
	}
	return o
}

// terminatedAt returns when a server terminated that was found absent: when its first
// connection broke, or now if none did.
func (w *serverWatch) terminatedAt(now time.Time) time.Time {
	at := now
	for _, a := range w.attempts {
		if a.end != canceled && a.endedAt.Before(at) {
			at = a.endedAt
		}
	}
	return at
}

// watches are the servers watched for termination.
type watches struct {
	mu       sync.Mutex
	byServer map[backend.Instance]*serverWatch
	// count is len(byServer): while it is 0, responses skip the lock.
	count atomic.Int32
}

// add records an attempt at a server. It returns a watch that the caller must run if the
// server was not watched.
func (w *watches) add(s backend.Server, a endedAttempt) (begun *serverWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	watch, ok := w.byServer[s.Instance()]
	if !ok {
		if len(w.byServer) >= maxWatchedServers && (a.end == canceled || len(w.byServer) >= 2*maxWatchedServers) {
			countUnwatched()
			return nil
		}
		watch = &serverWatch{server: s, attempts: make(map[request.Fingerprint]*endedAttempt), broke: make(chan struct{}, 1)}
		if w.byServer == nil {
			w.byServer = make(map[backend.Instance]*serverWatch)
		}
		w.byServer[s.Instance()] = watch
		w.count.Add(1)
		begun = watch
	}
	watch.add(a)
	return begun
}

// answered records that a server has answered a request that was sent at the given time.
func (w *watches) answered(s backend.Instance, sent time.Time) {
	if w.count.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if watch, ok := w.byServer[s]; ok && sent.After(watch.answered) {
		watch.answered = sent
	}
}

func (w *watches) needsProbe(watch *serverWatch, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watch.needsProbe(now)
}

// endedByServer reports whether the server ended a connection.
func (w *watches) endedByServer(watch *serverWatch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watch.has(broken) || watch.has(unframed)
}

// observe is serverWatch.observe. It ends the watch, and reports that, if no attempt is left.
func (w *watches) observe(watch *serverWatch, l look) (o outcome, done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o = watch.observe(time.Now(), l)
	if len(watch.attempts) > 0 {
		return o, false
	}
	w.removeLocked(watch)
	return o, true
}

// remove ends a watch unless it has ended.
func (w *watches) remove(watch *serverWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(watch)
}

func (w *watches) removeLocked(watch *serverWatch) {
	if w.byServer[watch.server.Instance()] == watch {
		delete(w.byServer, watch.server.Instance())
		w.count.Add(-1)
	}
}

// watchServer looks at a server until the outcome of all attempts that ended there is known.
func (g *Gateway) watchServer(watch *serverWatch) {
	// Also after a panic: the server could not be watched again otherwise.
	defer g.watches.remove(watch)
	for {
		o, done := g.watches.observe(watch, g.lookAt(watch))
		g.terminations.resolve(watch.server, o)
		if done {
			return
		}
		pause.SleepOrSignal(context.Background(), watchInterval, watch.broke)
	}
}

// lookAt checks whether a server is there: by its object in the store, by whether another
// server has its address, and by a connection if one is needed. A server without an object may
// still finish its requests: only one whose connections broke is then absent.
func (g *Gateway) lookAt(watch *serverWatch) look {
	s, l := watch.server, look{began: time.Now()}
	v := g.directory.View()
	l.confirmed = v.ServersConfirmedAt
	current, registered := v.Servers[s.ID]
	replaced := addressTaken(v, s) || (registered && current.Incarnation != s.Incarnation)
	if replaced || (!registered && g.watches.endedByServer(watch)) {
		l.presence = direct.Absent
		return l
	}
	if !g.watches.needsProbe(watch, l.began) {
		return l
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	l.presence, l.probed = direct.Probe(ctx, s), true
	return l
}

// addressTaken reports whether another server is registered at a server's address.
func addressTaken(v *directory.View, s backend.Server) bool {
	return lo.ContainsBy(lo.Values(v.Servers), func(o backend.Server) bool { return o.Address == s.Address && o.ID != s.ID })
}
