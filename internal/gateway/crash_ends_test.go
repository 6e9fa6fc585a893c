package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// contactTime is the time after which all gateways act on what one of them has seen.
	contactTime = 3 * time.Second
	// fatalInterval is the pause between two fatal requests, and lateTime how long they go on
	// after contactTime by default.
	fatalInterval = 200 * time.Millisecond
	lateTime      = 4 * time.Second
	// maxLateRuns is how many more engines a request may reach after contactTime.
	maxLateRuns = 3
)

// fatalSender sends the n-th fatal request.
type fatalSender func(f *clusterFixture, n int)

// postFatal sends the fatal body.
func postFatal(f *clusterFixture, n int) { f.send(f.gateway(n), fmt.Sprintf("r%d", n), fatal) }

// gateway returns the gateways in turn.
func (f *clusterFixture) gateway(n int) *testGateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[n%len(f.gateways)]
}

// runsAfter counts the fatal requests that reached engines after the given time.
func (f *clusterFixture) runsAfter(start time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, run := range f.fatalRuns {
		if run.After(start) {
			n++
		}
	}
	return n
}

// sendFatal sends fatal requests every fatalInterval until lateTime after the bound, which
// is contactTime after the third crash. each is called before each of them, unless it is nil.
func (f *clusterFixture) sendFatal(send fatalSender, each func(n int)) {
	var sent sync.WaitGroup
	giveUp := time.Now().Add(30 * time.Second)
	for n := 0; time.Now().Before(giveUp); n++ {
		if third := f.thirdCrash(); !third.IsZero() && time.Since(third) > contactTime+max(lateTime, f.lateTime) {
			break
		}
		if each != nil {
			each(n)
		}
		sent.Go(func() { send(f, n) })
		time.Sleep(fatalInterval)
	}
	sent.Wait()
}

// expectNotSentOn fails the test if fatal requests reach more than maxLateRuns engines later
// than contactTime after the third crash.
func (f *clusterFixture) expectNotSentOn(send fatalSender) {
	f.t.Helper()
	f.sendFatal(send, nil)
	f.checkLateRuns()
}

func (f *clusterFixture) checkLateRuns() {
	f.t.Helper()
	third := f.thirdCrash()
	if third.IsZero() {
		f.t.Fatal("fewer than three engines crashed")
	}
	late := f.runsAfter(third.Add(contactTime))
	f.t.Logf("reached %d engines later than %v after the third crash, %d in all", late, contactTime, f.runsAfter(time.Time{}))
	if late > maxLateRuns {
		f.t.Errorf("want at most %d", maxLateRuns)
	}
}

// newCrashFixture starts two gateways in front of engines.
func newCrashFixture(t *testing.T, f *clusterFixture, engines int) *clusterFixture {
	t.Parallel()
	f.t, f.store = t, objectstore.New()
	return startClusterFixture(f, 2, engines)
}

// Guards against an answer that a crash ends between two events and that is taken for complete.
func TestRequestThatEndsEnginesBetweenEventsIsNotSentOn(t *testing.T) {
	newCrashFixture(t, &clusterFixture{fatalEnd: runner.BetweenEvents}, 8).expectNotSentOn(postFatal)
}

// Guards against crashes that count only while the caller waits.
func TestRequestThatEndsEnginesAfterItsCallerLeftIsNotSentOn(t *testing.T) {
	newCrashFixture(t, &clusterFixture{}, 8).expectNotSentOn(func(f *clusterFixture, n int) {
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Millisecond)
		defer cancel()
		f.sendRequest(http.DefaultClient, ctx, f.gateway(n), fmt.Sprintf("r%d", n), http.MethodPost, "/stream-again/x", fatal)
	})
}

// Guards against attempts of one request without a body that count as different requests
// because they come from different addresses.
func TestRequestWithoutABodyThatEndsEnginesIsNotSentOn(t *testing.T) {
	f := &clusterFixture{isFatal: func(r runner.Run) bool { return r.Target == "/stream-again/fatal" }}
	newCrashFixture(t, f, 8).expectNotSentOn(func(f *clusterFixture, n int) {
		f.sendRequest(clientFrom(n%16), context.Background(), f.gateway(n), fmt.Sprintf("r%d", n), http.MethodGet, "/stream-again/fatal", "")
	})
}

// Guards against evidence that is lost with the processes that have it.
func TestRequestThatEndsEnginesIsNotSentOnAfterAllGatewaysWereKilled(t *testing.T) {
	f := newCrashFixture(t, &clusterFixture{}, 8)
	kills := 0
	f.sendFatal(postFatal, func(n int) {
		if third := f.thirdCrash(); n%8 != 7 || kills == 4 || (third.IsZero() && f.crashesAfter(time.Time{}) == 0) {
			return
		}
		kills++
		f.restartGateways()
	})
	f.checkLateRuns()
}

// restartGateways kills all gateways and starts them again.
func (f *clusterFixture) restartGateways() {
	for n := range f.gateways {
		f.gateway(n).kill()
	}
	for n := range f.gateways {
		g := f.startGateway(n)
		f.mu.Lock()
		f.gateways[n] = g
		f.mu.Unlock()
	}
	f.waitFor("the gateways know the configuration", func() bool {
		for n := range f.gateways {
			if f.gateway(n).dir.View().Table == nil {
				return false
			}
		}
		return true
	})
}

// Guards against crashes that do not count because the engine's object went first.
func TestRequestThatEndsEnginesWhoseObjectsGoFirstIsNotSentOn(t *testing.T) {
	f := &clusterFixture{}
	f.beforeCrash = func(r *runner.BackendServer, _ string) {
		f.store.Remove("servers", r.ID)
		time.Sleep(100 * time.Millisecond)
	}
	newCrashFixture(t, f, 8).expectNotSentOn(postFatal)
}

// Guards against crashes that do not count because the engine drains.
func TestRequestThatEndsDrainingEnginesIsNotSentOn(t *testing.T) {
	f := &clusterFixture{}
	f.beforeCrash = func(r *runner.BackendServer, address string) {
		f.store.Put("servers", r.ID, r.Registration("llm", address, "z", "draining"))
		time.Sleep(100 * time.Millisecond)
	}
	newCrashFixture(t, f, 8).expectNotSentOn(postFatal)
}

// Guards against crashes that do not count because a silent engine was given up before.
func TestRequestThatSilencesEnginesBeforeTheyEndIsNotSentOn(t *testing.T) {
	newCrashFixture(t, silentBeforeCrash(time.Second, 500*time.Millisecond), 8).expectNotSentOn(postFatal)
}

// Guards against crashes that do not count because callers leave a silent engine first.
func TestRequestThatSilencesEnginesForLongBeforeTheyEndIsNotSentOn(t *testing.T) {
	f := silentBeforeCrash(2500*time.Millisecond, 0)
	f.lateTime = 10 * time.Second
	newCrashFixture(t, f, 24).expectNotSentOn(postFatal)
}

// silentBeforeCrash returns a fixture whose engines are silent before they crash: first with
// their object, then without it.
func silentBeforeCrash(registered, removed time.Duration) *clusterFixture {
	f := &clusterFixture{}
	f.beforeCrash = func(r *runner.BackendServer, _ string) {
		r.Silence()
		time.Sleep(registered)
		if removed > 0 {
			f.store.Remove("servers", r.ID)
		}
		time.Sleep(removed)
	}
	return f
}

// sendRequest sends a request and returns the status, 0 for a response that is interrupted.
func (f *clusterFixture) sendRequest(client *http.Client, ctx context.Context, g *testGateway, id, method, target, body string, header ...string) (status int, h http.Header) {
	req, err := http.NewRequestWithContext(ctx, method, g.url+target, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return 0, nil
	}
	req.Host = "h.example"
	req.Close = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	req.Header.Set("Authorization", "Bearer "+deskKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

// Guards against callers of one target who are kept apart because one server crashed under it.
func TestReadersOfOneTargetAreServedAfterOneCrash(t *testing.T) {
	f := newCrashFixture(t, &clusterFixture{eventInterval: 300 * time.Millisecond}, 8)
	read := func(n int) int {
		status, _ := f.sendRequest(clientFrom(n), context.Background(), f.gateway(0), fmt.Sprintf("r%d", n), http.MethodGet, "/stream-once/x", "")
		return status
	}
	var running sync.WaitGroup
	var cut atomic.Int32
	for n := range 16 {
		running.Go(func() {
			if read(n) != http.StatusOK {
				cut.Add(1)
			}
		})
	}
	// Not the first engine after a fixed time: now and then none of the readers is there.
	crashed := -1
	f.waitFor("a reader is at an engine", func() bool {
		crashed = slices.IndexFunc(f.engines, func(e *runner.BackendServer) bool { return len(e.Runs()) > 0 })
		return crashed >= 0
	})
	f.engines[crashed].Crash()
	f.waitFor("a reader is cut off", func() bool { return cut.Load() > 0 })
	for n := range 16 {
		running.Go(func() {
			if status := read(n); status != http.StatusOK {
				t.Errorf("reader %d got status %d after one crash, want 200", n, status)
			}
		})
	}
	running.Wait()
}

// Guards against a request that was planned before the third termination became known and is
// sent after that.
func TestRequestIsNotSentOnceItIsQuarantinedWhileItIsPrefilled(t *testing.T) {
	f := newNoticesFixture(t)
	prefiller := f.start("p", "prefill")
	decoder := f.start("d", "decode")
	prompt := []string{"Token-Count", "20000,20", "Prefix-Hash", "aa:15000,bb:5000"}
	release := prefiller.HoldPrefills()
	var answer response
	var running sync.WaitGroup
	running.Go(func() { answer = f.send(streamTarget, "planned", prompt...) })
	f.waitFor("the prompt is at the prefill engine", func() bool { return len(prefiller.RequestTimes()) == 1 })
	r := request.Request{Method: http.MethodPost, Host: "h.example", Target: streamTarget, Body: []byte("planned")}
	for n := range 3 {
		at := time.Now().Add(time.Duration(n-3) * time.Second)
		f.gateway.RemoteTermination(quarantine.Evidence{
			Request: r.Fingerprint(), Instance: backend.Instance{ID: fmt.Sprintf("gone-%d", n)}, SentAt: at.Add(-time.Millisecond), ObservedAt: at,
		})
	}
	release()
	running.Wait()
	if answer.status != http.StatusServiceUnavailable || len(decoder.Runs()) > 0 {
		t.Errorf("status %d, %d runs at the engine that generates, want 503 and none", answer.status, len(decoder.Runs()))
	}
}
