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

// startPlainService starts three servers of the plain service and waits until all gateways
// know them.
func (f *clusterFixture) startPlainService() []*runner.BackendServer {
	servers := []*runner.BackendServer{f.startPlain("p-1"), f.startPlain("p-2"), f.startPlain("p-3")}
	f.waitFor("gateways know the plain servers", func() bool {
		for _, g := range f.gateways {
			if len(g.dir.View().Service("plain")) != len(servers) {
				return false
			}
		}
		return true
	})
	return servers
}

// setLimits makes servers state a limit from now on, and returns the time.
func setLimits(perSecond float64, servers ...*runner.BackendServer) time.Time {
	for _, s := range servers {
		s.SetLimit(strconv.FormatFloat(perSecond, 'f', 1, 64), runner.AllAnswers)
	}
	return time.Now()
}

// checkLimit checks the requests to a server that states a limit from a time on.
func checkLimit(t *testing.T, server *runner.BackendServer, perSecond float64, from time.Time) {
	t.Helper()
	if got := maxWithinWindow(server.RequestTimes(), from.Add(agreementTime)); got > allowed(perSecond) {
		t.Errorf("%d requests in %v to %s with a limit of %v a second, want at most %d", got, limitWindow, server.ID, perSecond, allowed(perSecond))
	}
}

// checkUsed checks that a server with a limit got requests from a time on.
func checkUsed(t *testing.T, server *runner.BackendServer, from time.Time) {
	t.Helper()
	if maxWithinWindow(server.RequestTimes(), from.Add(agreementTime)) == 0 {
		t.Errorf("no request to %s with room for some", server.ID)
	}
}

// Guards against gateways that ignore the limit that a server states, that each use all of
// it, or that use none of it.
func TestServerLimitHoldsForAllGatewaysTogether(t *testing.T) {
	const (
		perSecond = 1.0
		loadTime  = agreementTime + limitWindow + time.Second
	)
	f := newClusterFixture(t, 3, 4)
	plain := f.startPlainService()
	t.Run("plain", func(t *testing.T) {
		limited := plain[2]
		from := setLimits(perSecond, limited)
		f.sendLoad("/read/1", loadTime)
		checkLimit(t, limited, perSecond, from)
		checkUsed(t, limited, from)
	})
	t.Run("engine", func(t *testing.T) {
		limited, others := f.engines[0], f.engines[1:]
		var load sync.WaitGroup
		load.Go(func() { f.sendLoad("/stream-again/x", 2*loadTime) })
		from := setLimits(perSecond, limited)
		time.Sleep(loadTime)
		// Gateways place a request where they expect the first token soonest, and may
		// prefer other engines as long as these have room.
		halfway := setLimits(perSecond, others...)
		load.Wait()
		checkLimit(t, limited, perSecond, from)
		checkUsed(t, limited, halfway)
		for _, other := range others {
			checkLimit(t, other, perSecond, halfway)
			checkUsed(t, other, halfway)
		}
	})
}
