package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// limitWindow is the window over which operators count the requests to a server
	// with a limit. The count may be up to limitSlack times the limit plus limitExtra.
	limitWindow = 4 * time.Second
	limitSlack  = 1.5
	limitExtra  = 5
)

// allowed returns how many requests a server with a limit may get within limitWindow.
func allowed(perSecond float64) int {
	return int(limitSlack*perSecond*limitWindow.Seconds()) + limitExtra
}

// maxWithinWindow returns the maximum number of times within any limitWindow, ignoring
// those before from.
func maxWithinWindow(times []time.Time, from time.Time) int {
	maximum := 0
	for i, first := range times {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, t := range times[i:] {
			if t.Sub(first) < limitWindow {
				n++
			}
		}
		maximum = max(maximum, n)
	}
	return maximum
}

// startPlain starts a server of the plain service and registers it in the store.
func (f *clusterFixture) startPlain(id string) *runner.BackendServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	r := runner.New(id, "")
	server := &http.Server{Handler: r}
	f.t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	f.store.Put("servers", id, r.Registration("plain", listener.Addr().String(), "z", "ready"))
	return r
}

// sendLoad sends requests from concurrent callers to all gateways in turn for d.
func (f *clusterFixture) sendLoad(target string, d time.Duration) {
	const callers = 8
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
				g := f.gateways[(caller+n)%len(f.gateways)]
				req, err := http.NewRequest(http.MethodPost, g.url+target, nil)
				if err != nil {
					f.t.Error(err)
					return
				}
				req.Host = "h.example"
				req.Header.Set("Request-Id", fmt.Sprintf("%s-%d-%d", target, caller, n))
				req.Header.Set("Deadline-Ms", "2000")
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
}

// Guards against gateways that ignore the limit that a server states, or that each use
// all of it.
func TestServerLimitHoldsForAllGatewaysTogether(t *testing.T) {
	const perSecond = 1.0
	f := newClusterFixture(t, 3, 4)
	for _, id := range []string{"p-1", "p-2"} {
		f.startPlain(id)
	}
	plain := f.startPlain("p-3")
	f.waitFor("gateways know the plain servers", func() bool {
		for _, g := range f.gateways {
			if len(g.dir.View().Service("plain")) != 3 {
				return false
			}
		}
		return true
	})
	engine := f.engines[0]
	for name, c := range map[string]struct {
		server *runner.BackendServer
		target string
	}{"plain": {plain, "/read/1"}, "engine": {engine, "/stream-again/x"}} {
		t.Run(name, func(t *testing.T) {
			c.server.SetLimit(strconv.FormatFloat(perSecond, 'f', 1, 64), runner.AllAnswers)
			named := time.Now()
			f.sendLoad(c.target, agreementTime+limitWindow+time.Second)
			if got := maxWithinWindow(c.server.RequestTimes(), named.Add(agreementTime)); got > allowed(perSecond) {
				t.Errorf("%d requests in %v to a server with a limit of %v a second, want at most %d", got, limitWindow, perSecond, allowed(perSecond))
			}
			if maxWithinWindow(c.server.RequestTimes(), named.Add(agreementTime)) == 0 {
				t.Error("no request to a server with room for some")
			}
		})
	}
}
