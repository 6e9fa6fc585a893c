package soakproc

import (
	"context"
	"sync"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// fatalBody is the body of a request that crashes the engine running it. It is
	// sent every fatalInterval, to the gateways round-robin.
	fatalBody     = "fatal"
	fatalInterval = 250 * time.Millisecond
	// restartDelay is the time from an engine's crash to its restart.
	restartDelay = 400 * time.Millisecond
	// maxLateCrashes is the number of engines that the request may crash after the
	// gateways had time to exchange its quarantine.
	maxLateCrashes = 3
)

// crashTimes are the times at which engines crashed on the fatal request.
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

// crashOnFatal lets a server crash on the fatal request and restarts it after
// restartDelay.
func (env *environment) crashOnFatal(s *server) {
	s.Fatal = func(r runner.Run) bool { return r.Body == fatalBody }
	s.Crash = func() {
		env.crashes.add()
		s.proxy.Down()
		time.AfterFunc(restartDelay, func() {
			s.Restart()
			if err := s.proxy.Up(); err != nil {
				return
			}
			env.register(s, "ready")
		})
	}
}

// startFatalCaller sends the fatal request repeatedly until the returned function
// is called.
func (env *environment) startFatalCaller(ctx context.Context, l *requestLog) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			req := request{method: "POST", target: "/stream-again/fatal", kind: "fatal", id: l.nextIDOf(accountNames[0]), body: fatalBody}
			send(newClient(), env.gateways[n%len(env.gateways)].address, req)
			time.Sleep(fatalInterval)
		}
	})
	return func() {
		cancel()
		wait.Wait()
	}
}

// checkCrashes checks that at most maxLateCrashes engines crashed on the fatal
// request since a time at which all gateways had been undisturbed for settleTime.
func (env *environment) checkCrashes(since time.Time, l *requestLog) {
	if n := env.crashes.after(since); n > maxLateCrashes {
		l.addViolation("one request crashed %d engines after all gateways had recovered, at most %d are allowed", n, maxLateCrashes)
	}
}
