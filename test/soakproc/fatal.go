package soakproc

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// fatalBody is the body, and fatalTarget the target without a body, of a request that
	// crashes the engine running it. fatalSegment is in each prompt that does. They are sent
	// every fatalInterval, to the gateways round-robin.
	fatalBody     = "fatal"
	fatalTarget   = "/stream-again/fatal"
	fatalSegment  = "f00d"
	fatalInterval = 250 * time.Millisecond
	// leaveTime is when a caller leaves that does not wait for the crash.
	leaveTime = eventInterval * 4 / 5
	// restartDelay is the time from an engine's crash to its restart.
	restartDelay = 400 * time.Millisecond
	// maxLateCrashes is the number of engines that the request, or the segment, may crash after
	// the gateways had time to exchange its quarantine.
	maxLateCrashes = 3
	// removedBefore is how long before its connections the object of an engine goes, or says
	// that it drains.
	removedBefore = 100 * time.Millisecond
	// silentBefore is how long an engine is silent before it crashes.
	silentBefore = 1200 * time.Millisecond
)

// crashKind is how engines crash in a run.
type crashKind uint64

// The kinds.
const (
	breakingAnswers crashKind = iota
	betweenEvents
	objectFirst
	drainingFirst
	silentFirst
	crashKindCount
)

// fatalKind is how the fatal request is sent in a run.
type fatalKind uint64

// The kinds.
const (
	withBody fatalKind = iota
	withoutBody
	leavingCaller
	fatalKindCount
)

func crashKindOf(seed uint64) crashKind { return crashKind(seed % uint64(crashKindCount)) }

func fatalKindOf(seed uint64) fatalKind {
	return fatalKind(seed / uint64(crashKindCount) % uint64(fatalKindCount))
}

// crashTimes are the times at which engines crashed on the fatal request or segment.
type crashTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *crashTimes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
}

// after returns the number of crashes after a point in time.
func (c *crashTimes) after(since time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, t := range c.times {
		if t.After(since) {
			n++
		}
	}
	return n
}

// isFatalRequest and isFatalPrompt report whether a run crashes its engine.
func isFatalRequest(r runner.Run) bool { return r.Body == fatalBody || r.Target == fatalTarget }

func isFatalPrompt(r runner.Run) bool {
	return strings.Contains(r.Header.Get("Prefix-Hash"), fatalSegment+":")
}

// crashOnFatal lets a server crash on the fatal request and on prompts with the fatal segment, and
// restarts it after restartDelay.
func (env *environment) crashOnFatal(s *server) {
	var mu sync.Mutex
	crashing := false
	s.Fatal = func(r runner.Run) bool { return isFatalRequest(r) || isFatalPrompt(r) }
	if env.crashKind == betweenEvents {
		s.FatalEnd = runner.BetweenEvents
	}
	s.Crash = func() {
		mu.Lock()
		again := crashing
		crashing = true
		mu.Unlock()
		if again {
			return
		}
		env.countCrash(s)
		env.beforeCrash(s)
		s.proxy.Down()
		time.AfterFunc(restartDelay, func() {
			s.Resume()
			s.Restart()
			mu.Lock()
			crashing = false
			mu.Unlock()
			if err := s.proxy.Up(); err != nil {
				return
			}
			env.register(s, "ready")
		})
	}
}

// countCrash counts a crash by its cause: the latest fatal run of the server.
func (env *environment) countCrash(s *server) {
	runs := s.Runs()
	for i := len(runs) - 1; i >= 0; i-- {
		switch {
		case isFatalPrompt(runs[i]):
			env.segmentCrashes.add()
			return
		case isFatalRequest(runs[i]):
			env.crashes.add()
			return
		}
	}
}

// beforeCrash does what precedes a crash in this run.
func (env *environment) beforeCrash(s *server) {
	switch env.crashKind {
	case objectFirst:
		env.remove("servers", s.ID)
		time.Sleep(removedBefore)
	case drainingFirst:
		env.register(s, "draining")
		time.Sleep(removedBefore)
	case silentFirst:
		s.Silence()
		time.Sleep(silentBefore)
	}
}

// maybeCrashed reports whether the answer to a request may have been cut by the crash of an engine.
// Servers of the plain service don't crash.
func (env *environment) maybeCrashed(req request, got outcome) bool {
	since := got.sent.Add(-silentBefore)
	return serviceOf(req) == modelService && env.crashes.after(since)+env.segmentCrashes.after(since) > 0
}

// startFatalCallers sends the fatal request, and prompts with the fatal segment, repeatedly until
// the returned function is called.
func (env *environment) startFatalCallers(ctx context.Context, l *requestLog) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	every := func(next func(n int) request) {
		wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				req := next(n)
				wait.Go(func() { send(newClient(), env.gateways[n%len(env.gateways)].address, req) })
				time.Sleep(fatalInterval)
			}
		})
	}
	every(func(int) request {
		req := request{method: "POST", target: "/stream-again/fatal-body", kind: "fatal", id: l.nextIDOf(accountNames[0]), body: fatalBody}
		switch env.fatalKind {
		case withoutBody:
			// Without a body, the prompt is what makes it the same request.
			req.method, req.target, req.body, req.noBody, req.prefix = "GET", fatalTarget, "", true, "aa:1500,5:500"
		case leavingCaller:
			req.leaveAfter = leaveTime
		}
		return req
	})
	every(func(n int) request {
		return request{
			method: "POST", target: "/stream-again/prompt", kind: "fatal", id: l.nextIDOf(accountNames[0]), body: fmt.Sprintf("prompt %d", n),
			prefix: fmt.Sprintf("aa:1500,%s:300,%x:200", fatalSegment, 0x10000+n),
		}
	})
	return func() {
		cancel()
		wait.Wait()
	}
}

// checkCrashes checks that at most maxLateCrashes engines crashed on the fatal request, and as
// many on the fatal segment, since a time at which all gateways had been undisturbed for
// settleTime.
func (env *environment) checkCrashes(since time.Time, l *requestLog) {
	if n := env.crashes.after(since); n > maxLateCrashes {
		l.addViolation("one request crashed %d engines after all gateways had recovered, at most %d are allowed", n, maxLateCrashes)
	}
	if n := env.segmentCrashes.after(since); n > maxLateCrashes {
		l.addViolation("prompts with one segment crashed %d engines after all gateways had recovered, at most %d are allowed", n, maxLateCrashes)
	}
}
