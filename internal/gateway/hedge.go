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
	"pistachioroad.dev/pistachioroad/internal/safego"
)

const (
	// silenceTimeout is how long a server may send nothing before the request is tried
	// at another one as well. Callers leave streams after two seconds; the rest of that
	// time is for the prefill at the other engine.
	silenceTimeout = time.Second
	// hedgeRetryInterval is the pause between two searches for another server.
	hedgeRetryInterval = 250 * time.Millisecond
	// A timer that fires later than lateTimer shows that this process stood still or
	// lacks processor time. Data that has arrived meanwhile is then read first, for up
	// to lateReadTime.
	lateTimer    = 20 * time.Millisecond
	lateReadTime = 50 * time.Millisecond
)

// hedge tries a request at another server while its first server is silent: it sends
// nothing, with its connections open. Callers would leave after two seconds, and the
// answers of one engine would all end at about the same time without an error of it.
//
// The first attempt is kept meanwhile, because a sound server may be silent for a
// while and then go on, and the other attempt may be refused. The attempt whose server
// is the first to send the awaited data wins, and the other one is canceled. A nil
// hedge only waits for the first server.
type hedge struct {
	call *call
	// ctx is done when no attempt of the hedge is needed any more.
	ctx   context.Context
	first backend.Server
	// cancelFirst cancels the first attempt.
	cancelFirst context.CancelFunc
	// next makes one attempt at another server and returns it once that server has sent
	// what is awaited. Otherwise it returns nil and whether to try again later.
	next func(ctx context.Context) (a *hedgedAttempt, again bool)
	// discard ends the accounting of an attempt that next has returned and that lost.
	discard func(*hedgedAttempt)
	// onSilence is called when the first server is silent, unless it is nil.
	onSilence func()
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
	// search is the context of the search that led to the attempt, and cancel cancels
	// the attempt.
	search context.Context
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
		h.race.arm()
	}
	received := h.awaitFirst(await)
	if h.race.timer.Stop() {
		return nil
	}
	r := h.race
	h.race = nil
	winner := r.finish(received)
	if !r.silent {
		return nil
	}
	h.silences++
	h.call.logSilence(h.first, time.Since(r.armedAt), received, winner)
	return winner
}

// awaitFirst calls await. If that panics, it ends the search, which uses the call, first.
func (h *hedge) awaitFirst(await func() (received bool)) (received bool) {
	returned := false
	defer func() {
		if !returned {
			h.race.abandon()
		}
	}()
	received = await()
	returned = true
	return received
}

// silent returns how often the first server has been silent.
func (h *hedge) silent() int {
	if h == nil {
		return 0
	}
	return h.silences
}

// allowed reports whether the request may be sent to another server now. Attempts whose
// servers have not begun to answer count as runs. A suspected request is at one server at
// a time, as it could terminate both.
func (h *hedge) allowed() bool {
	c := h.call
	return c.possibleRuns+c.pendingRuns < c.route.MaxAttempts && c.mayRetry() && !c.suspected()
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
	// armedAt is when the timer was last started.
	armedAt time.Time
	// silent is set if the first server was silent, and panicked is what the search
	// panicked with. They must be read after done.
	silent   bool
	panicked any

	mu       sync.Mutex
	firstWon bool
	winner   *hedgedAttempt
}

func newRace(h *hedge) *race {
	r := &race{hedge: h, firstFailed: make(chan struct{}), done: make(chan struct{}), armedAt: time.Now()}
	r.ctx, r.cancel = context.WithCancel(h.ctx)
	r.timer = time.AfterFunc(silenceTimeout, r.run)
	return r
}

// arm starts the timer again.
func (r *race) arm() {
	r.armedAt = time.Now()
	r.timer.Reset(silenceTimeout)
}

// run searches for another server. It uses the call, whose own goroutine waits for
// the first server or for the end of run.
func (r *race) run() {
	defer close(r.done)
	defer func() { r.panicked = safego.Capture(recover()) }()
	if r.silent = r.confirmSilence(); !r.silent {
		return
	}
	c := r.hedge.call
	c.exclude(r.hedge.first)
	if r.hedge.onSilence != nil {
		r.hedge.onSilence()
	}
	for r.ctx.Err() == nil && r.hedge.allowed() {
		a, again := r.hedge.next(r.ctx)
		if a != nil {
			r.offer(a)
			return
		}
		if !again || r.hasFirstFailed() {
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

// confirmSilence reports whether the first server is silent. If this process may have
// stood still, it first leaves time to read what has arrived.
func (r *race) confirmSilence() bool {
	if time.Since(r.armedAt) < silenceTimeout+lateTimer {
		return true
	}
	return pause.SleepOrSignal(r.ctx, lateReadTime, r.firstFailed) && !r.hasFirstFailed()
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
	r.decide(received)
	switch {
	case r.firstWon:
		r.cancel()
	case !received:
		close(r.firstFailed)
	}
	<-r.done
	if r.panicked != nil {
		// The server recovers from it in the goroutine of the request only.
		panic(r.panicked)
	}
	return r.winner
}

// decide makes the first server win if it has sent data and no other attempt has won.
func (r *race) decide(received bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstWon = received && r.winner == nil
}

// abandon ends the race without an outcome.
func (r *race) abandon() {
	if r.timer.Stop() {
		return
	}
	r.decide(true)
	r.cancel()
	<-r.done
	if r.winner != nil {
		r.winner.cancel()
		r.hedge.discard(r.winner)
	}
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
	default:
		c.trace.server = first.ID
	}
	fields["outcome"] = outcome
	c.trace.silent = append(c.trace.silent, first.ID)
	metrics.GetOrRegisterCounter("gateway.silences_"+outcome, nil).Inc(1)
	log.WithFields(fields).Info("server was silent")
}
