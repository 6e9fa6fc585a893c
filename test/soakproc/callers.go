package soakproc

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// request is what a caller sends.
type request struct {
	method, target, id, kind string
	// body is "b" if it is empty.
	body string
}

// outcome is what it got.
type outcome struct {
	status int
	body   string
	err    error
}

// kinds are the requests that callers send, by turns.
var kinds = []request{
	{method: "GET", target: "/read/1", kind: "read"},
	{method: "POST", target: "/hold/1", kind: "hold"},
	{method: "POST", target: "/stream-once/1", kind: "once"},
	{method: "POST", target: "/stream-again/1", kind: "again"},
}

// newClient returns a client with one connection that it keeps. It repeats
// nothing by itself that may have run.
func newClient() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
}

func ask(c *http.Client, address string, r request) outcome {
	req, err := http.NewRequest(r.method, "http://"+address+r.target, io.NopCloser(strings.NewReader(cmp.Or(r.body, "b"))))
	if err != nil {
		return outcome{err: err}
	}
	req.Host = "h.example"
	// A body that cannot be read again keeps the library from sending it twice.
	req.GetBody = nil
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Token-Count", "2000,20")
	req.Header.Set("Prefix-Hash", "aa:1500,"+fmt.Sprintf("%x", len(r.id))+":500")
	resp, err := c.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, body: string(body), err: err}
}

// startCallers lets callers ask until the returned function is called.
func (w *world) startCallers(ctx context.Context, seed uint64, l *ledger) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for n := range callers {
		wait.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(100+n)))
			client := newClient()
			for ctx.Err() == nil {
				q := kinds[r.IntN(len(kinds))]
				q.id = l.nextID()
				planned := l.planned.Load()
				a := ask(client, w.gateways[n%len(w.gateways)].address, q)
				l.note(q, a, planned && l.planned.Load())
				time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// ledger has every request and its outcome.
type ledger struct {
	next atomic.Int64
	// planned is set while nothing but a graceful stop goes on.
	planned atomic.Bool

	mu       sync.Mutex
	asked    map[string]request
	got      map[string]outcome
	answers  map[int]int
	breaches []string
}

func newLedger() *ledger {
	return &ledger{asked: map[string]request{}, got: map[string]outcome{}, answers: map[int]int{}}
}

func (l *ledger) nextID() string { return fmt.Sprintf("r%d", l.next.Add(1)) }

func (l *ledger) breach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaches = append(l.breaches, fmt.Sprintf(format, args...))
}

// note takes an outcome in. A request that was cut after its head, while only a
// graceful stop went on, is a breach at once.
func (l *ledger) note(q request, a outcome, planned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[q.id], l.got[q.id] = q, a
	l.answers[a.status]++
	if planned && a.status != 0 && a.err != nil {
		l.breaches = append(l.breaches, fmt.Sprintf("%s %s was cut by a graceful stop: %v", q.kind, q.id, a.err))
	}
}

// whole is the answer that a request must have got if it was a success.
func whole(q request) string {
	if q.kind != "once" && q.kind != "again" {
		return runner.Body(q.id)
	}
	var b strings.Builder
	for n := 1; n <= 3; n++ {
		b.WriteString(runner.Event(q.id, n))
	}
	return b.String()
}

// judge compares what callers got with what backend servers ran.
func (l *ledger) judge(w *world) {
	runs := map[string]int{}
	for _, s := range w.servers {
		for _, run := range s.Runs() {
			runs[run.ID]++
		}
	}
	for id, n := range runs {
		q, ok := l.asked[id]
		if !ok && !strings.HasPrefix(id, "r") {
			l.breach("%s ran and nobody asked for it", id)
		}
		if once := q.kind == "hold" || q.kind == "once"; once && n > 1 {
			l.breach("%s %s ran %d times", q.kind, id, n)
		}
	}
	for id, a := range l.got {
		q := l.asked[id]
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if once := q.kind == "hold" || q.kind == "once"; promised && once && runs[id] > 0 {
			l.breach("%s %s was told not run, and ran", q.kind, id)
		}
		if a.status == http.StatusOK && a.err == nil && a.body != whole(q) && a.body != "ok" {
			l.breach("%s %s got another answer than its own: %q", q.kind, id, a.body)
		}
	}
}
