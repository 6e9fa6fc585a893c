package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/pause"
)

const (
	// silenceTimeout is how long a server may send nothing before the request is tried
	// at another one as well. Callers leave streams after two seconds; the rest of that
	// time is for the prefill at the other engine.
	silenceTimeout = time.Second
	// hedgeRetryInterval is the pause between two searches for another server.
	hedgeRetryInterval = 250 * time.Millisecond
)

// hedge tries a request at another server while its first server is silent.
//
// The first attempt is kept meanwhile, because a sound server may be silent for a
// while and then go on, and the other attempt may be refused. The attempt whose server
// is the first to send the awaited data wins, and the other one is canceled. A nil
// hedge only waits for the first server.
type hedge struct {
	call  *call
	first backend.Server
	// runCounted is set if the first attempt is no run, or its run has been counted.
	runCounted bool
	// cancelFirst cancels the first attempt.
	cancelFirst context.CancelFunc
	// next makes one attempt at another server and returns it once that server has sent
	// what is awaited. It returns nil if there is no server or the attempt fails.
	next func(ctx context.Context) *hedgedAttempt
	// discard ends the accounting of an attempt that next has returned and that lost.
	discard func(*hedgedAttempt)
	// avoidFirst makes other requests avoid the first server for a while. It is nil if
	// they need not.
	avoidFirst func()
	// race is nil until the first wait, and again after each wait in which the first
	// server was silent.
	race *race
	// silences counts the waits in which the first server was silent.
	silences int
}

// hedgedAttempt is an attempt beside a silent one.
type hedgedAttempt struct {
	// server is the one that has sent what is awaited.
	server backend.Server
	// reply is its response, nil for a prefill.
	reply *direct.Reply
	// handle is that of the KV cache, empty if there was no prefill.
	handle string
	// cancel cancels the attempt.
	cancel context.CancelFunc
	// plan, prefill and job belong to an attempt at engines.
	plan    place.Plan
	prefill time.Duration
	job     place.JobID
}

// wait calls await, which blocks until the first server sends data or its attempt
// fails. It returns the other attempt if that one has won, and otherwise nil. After
// wait has returned, the call is again used by the caller's goroutine only.
func (h *hedge) wait(await func() (received bool)) *hedgedAttempt {
	if h == nil {
		await()
		return nil
	}
	if h.race == nil {
		h.race = newRace(h)
	} else {
		h.race.timer.Reset(silenceTimeout)
	}
	began := time.Now()
	received := await()
	if h.race.timer.Stop() {
		return nil
	}
	r := h.race
	h.race = nil
	h.silences++
	winner := r.finish(received)
	h.call.logSilence(h.first, time.Since(began), received, winner)
	return winner
}

// silent returns how often the first server has been silent.
func (h *hedge) silent() int {
	if h == nil {
		return 0
	}
	return h.silences
}

// allowed reports whether the request may be sent to another server now. A run at the
// first server counts even if that one has not begun to answer.
func (h *hedge) allowed() bool {
	c := h.call
	runs := c.possibleRuns
	if !h.runCounted {
		runs++
	}
	// A suspected request is at one server at a time: it could terminate both.
	return runs < c.route.MaxAttempts && c.mayRetry() && !c.quarantineStatus.Suspected()
}

// race is a wait for the first server, with a timer that starts the search for another
// one.
type race struct {
	hedge *hedge
	timer *time.Timer
	// ctx is the context of the search and of its attempts.
	ctx    context.Context
	cancel context.CancelFunc
	// firstFailed is closed when the first attempt has failed, done when the search
	// has ended.
	firstFailed, done chan struct{}

	mu       sync.Mutex
	firstWon bool
	winner   *hedgedAttempt
}

func newRace(h *hedge) *race {
	r := &race{hedge: h, firstFailed: make(chan struct{}), done: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(h.call.ctx)
	r.timer = time.AfterFunc(silenceTimeout, r.run)
	return r
}

// run searches for another server. It uses the call, whose own goroutine waits for
// the first server or for the end of run.
func (r *race) run() {
	defer close(r.done)
	c := r.hedge.call
	c.exclude(r.hedge.first)
	if r.hedge.avoidFirst != nil {
		r.hedge.avoidFirst()
	}
	for r.ctx.Err() == nil && r.hedge.allowed() {
		if a := r.hedge.next(r.ctx); a != nil {
			r.offer(a)
			return
		}
		if r.hasFirstFailed() {
			return
		}
		// Another server or the retry budget may become available while the first
		// server is silent.
		c.retryBudgetSpent = false
		if !pause.SleepOrSignal(r.ctx, hedgeRetryInterval, r.firstFailed) || r.hasFirstFailed() {
			return
		}
	}
}

func (r *race) hasFirstFailed() bool {
	select {
	case <-r.firstFailed:
		return true
	default:
		return false
	}
}

// offer makes an attempt the winner unless the first server has sent data meanwhile.
func (r *race) offer(a *hedgedAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstWon {
		a.cancel()
		r.hedge.discard(a)
		return
	}
	r.winner = a
	r.hedge.cancelFirst()
}

// finish ends the race after the first server has sent data or its attempt has failed.
// It returns the other attempt if that one has won.
func (r *race) finish(received bool) *hedgedAttempt {
	r.mu.Lock()
	r.firstWon = received && r.winner == nil
	r.mu.Unlock()
	switch {
	case r.firstWon:
		r.cancel()
	case !received:
		close(r.firstFailed)
	}
	<-r.done
	return r.winner
}

// logSilence logs that a server was silent, for how long and which server's data ended
// the wait.
func (c *call) logSilence(first backend.Server, waited time.Duration, received bool, winner *hedgedAttempt) {
	outcome := "went_on"
	fields := log.Fields{"request": c.id, "server": first.ID, "waited_ms": waited.Milliseconds(), "sends": c.attempts}
	switch {
	case winner != nil:
		outcome = "moved"
		fields["to"] = winner.server.ID
	case !received:
		outcome = "failed"
	}
	fields["outcome"] = outcome
	c.trace.silent = append(c.trace.silent, first.ID)
	metrics.GetOrRegisterCounter("gateway.silences_"+outcome, nil).Inc(1)
	log.WithFields(fields).Info("server was silent")
}
