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
	// limitSpan is the time over which operators count what a server with a limit gets,
	// and limitSlack and limitMore by how much that may be over what the limit allows.
	limitSpan  = 4 * time.Second
	limitSlack = 1.5
	limitMore  = 5
)

// allowed is the most requests that a server with a limit may get within limitSpan.
func allowed(perSecond float64) int {
	return int(limitSlack*perSecond*limitSpan.Seconds()) + limitMore
}

// mostWithin returns the most moments that lie within limitSpan, of those from a moment on.
func mostWithin(times []time.Time, from time.Time) int {
	most := 0
	for i, first := range times {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, t := range times[i:] {
			if t.Sub(first) < limitSpan {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// startPlain starts a server of the plain service and registers it.
func (w *crashWorld) startPlain(id string) *runner.Runner {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	r := runner.New(id, "")
	server := &http.Server{Handler: r}
	w.t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	w.objects.Put("servers", id, r.Entry("plain", listener.Addr().String(), "z", "ready"))
	return r
}

// load sends requests to all gateways in turn, some at a time, for a while.
func (w *crashWorld) load(target string, d time.Duration) {
	const callers = 8
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
				g := w.gateways[(caller+n)%len(w.gateways)]
				req, err := http.NewRequest(http.MethodPost, g.url+target, nil)
				if err != nil {
					w.t.Error(err)
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

// Guards against gateways that ignore a server's own limit, or keep to it each alone.
func TestServerLimitIsKeptByAllGatewaysTogether(t *testing.T) {
	const perSecond = 1.0
	w := newCrashWorld(t, 3, 4)
	for _, id := range []string{"p-1", "p-2"} {
		w.startPlain(id)
	}
	plain := w.startPlain("p-3")
	w.waitFor("gateways know the plain servers", func() bool {
		for _, g := range w.gateways {
			if len(g.dir.View().Service("plain")) != 3 {
				return false
			}
		}
		return true
	})
	engine := w.engines[0]
	for name, c := range map[string]struct {
		server *runner.Runner
		target string
	}{"plain": {plain, "/read/1"}, "engine": {engine, "/stream-again/x"}} {
		t.Run(name, func(t *testing.T) {
			c.server.SetLimit(strconv.FormatFloat(perSecond, 'f', 1, 64), runner.AllAnswers)
			named := time.Now()
			w.load(c.target, contact+limitSpan+time.Second)
			if got := mostWithin(c.server.Got(), named.Add(contact)); got > allowed(perSecond) {
				t.Errorf("%d requests in %v to a server that takes %v a second, %d are allowed", got, limitSpan, perSecond, allowed(perSecond))
			}
			if mostWithin(c.server.Got(), named.Add(contact)) == 0 {
				t.Error("no request to a server that takes some")
			}
		})
	}
}
