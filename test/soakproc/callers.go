package soakproc

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
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
	// resumes is the request that brought the first event of the stream to take up, and
	// after the last event that the caller has; empty and 0 for a new request.
	resumes string
	after   int
	// key is the API key; if it is empty, that of the request's number.
	key string
	// noBody says that it has no body, and prefix are the segments of its prompt, by default
	// those of the other callers.
	noBody bool
	prefix string
	// leaveAfter is when the caller leaves, 0 if it waits.
	leaveAfter time.Duration
}

// outcome is the result of a request.
type outcome struct {
	status int
	body   string
	err    error
	// sent is when the request was sent, took the time to the end of the answer.
	sent time.Time
	took time.Duration
}

// requestKinds are the requests that callers choose from at random.
var requestKinds = []request{
	{method: "GET", target: "/read/1", kind: "read"},
	{method: "POST", target: "/hold/1", kind: "hold"},
	{method: "POST", target: "/stream-once/1", kind: "once"},
	{method: "POST", target: "/stream-again/1", kind: "again"},
}

// newClient returns a client with a single keep-alive connection.
func newClient() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
}

func send(c *http.Client, address string, r request) outcome {
	sent := time.Now()
	got := exchange(c, address, r)
	got.sent, got.took = sent, time.Since(sent)
	return got
}

func exchange(c *http.Client, address string, r request) outcome {
	ctx := context.Background()
	if r.leaveAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.leaveAfter)
		defer cancel()
	}
	body := io.NopCloser(strings.NewReader(cmp.Or(r.body, "b")))
	if r.noBody {
		body = http.NoBody
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.target, body)
	if err != nil {
		return outcome{err: err}
	}
	req.Host = "h.example"
	// Without GetBody, net/http cannot resend a request that may have run.
	req.GetBody = nil
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+cmp.Or(r.key, keyOf(requestNumber(r.id))))
	// Callers claim an account that is not theirs.
	req.Header.Set("Tenant", "nobody")
	req.Header.Set("Token-Count", "2000,20")
	req.Header.Set("Prefix-Hash", cmp.Or(r.prefix, "aa:1500,"+fmt.Sprintf("%x", len(r.id))+":500"))
	r.setResumption(req.Header)
	resp, err := c.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, body: string(data), err: err}
}

// startCallers starts the callers, which send requests until the returned
// function is called.
func (env *environment) startCallers(ctx context.Context, seed uint64, l *requestLog) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range callerCount {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(100+n)))
			client := newClient()
			for idle := time.Duration(0); wait(ctx, idle); idle = l.pauseOf(n, r) {
				req := l.kindOf(n, r)
				req.id = l.nextID()
				gracefulStopOnly, pausesOnly := l.gracefulStopOnly.Load(), l.pausesOnly.Load()
				l.gatewayOf.Store(req.id, env.gateways[n%len(env.gateways)].process.Name)
				got := send(client, env.gateways[n%len(env.gateways)].address, req)
				l.record(req, got, gracefulStopOnly && l.gracefulStopOnly.Load() && !env.maybeCrashed(req, got))
				if req.kind == "again" {
					env.takeUps(l, client, req, got, n)
				}
				if pausesOnly {
					env.checkEnding(l, req, got, idle)
				}
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// wait waits for a time and reports whether ctx is not done.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// requestLog holds every request, its outcome and the violations found.
type requestLog struct {
	next atomic.Int64
	// gracefulStopOnly is set while a graceful stop is the only disturbance.
	gracefulStopOnly atomic.Bool
	// pausesOnly is set once there are only pauses and planned changes.
	pausesOnly atomic.Bool
	// gatewayOf has the name of the gateway that each request was sent to, by ID.
	gatewayOf sync.Map

	mu         sync.Mutex
	sent       map[string]request
	outcomes   map[string]outcome
	statuses   map[int]int
	takeUps    map[int]int
	violations []string
	// closedInStop are the requests without an answer while a graceful stop was the only
	// disturbance.
	closedInStop []string
}

func newRequestLog() *requestLog {
	return &requestLog{sent: map[string]request{}, outcomes: map[string]outcome{}, statuses: map[int]int{}, takeUps: map[int]int{}}
}

func (l *requestLog) nextID() string { return fmt.Sprintf("r%d", l.next.Add(1)) }

func (l *requestLog) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// record stores an outcome. A response that was truncated after its head is a
// violation if a graceful stop was the only disturbance during the request, and so is a
// connection closed without one if the request had been passed on.
func (l *requestLog) record(req request, got outcome, gracefulStopOnly bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[req.id], l.outcomes[req.id] = req, got
	l.statuses[got.status]++
	if gracefulStopOnly && got.status == 0 && got.took < callerTimeout {
		l.closedInStop = append(l.closedInStop, req.id)
	}
	if gracefulStopOnly && got.status != 0 && got.err != nil {
		l.violations = append(l.violations, fmt.Sprintf("%s %s was interrupted by a graceful stop: %v", req.kind, req.id, got.err))
	}
}

// countTakeUp counts the answer to a request that takes up a stream.
func (l *requestLog) countTakeUp(got outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takeUps[got.status]++
}

// expectedBody returns the body of a successful response to a request.
func expectedBody(req request) string {
	if req.kind != "once" && req.kind != "again" {
		return runner.Body(req.id)
	}
	var b strings.Builder
	for n := req.after + 1; n <= 3; n++ {
		b.WriteString(runner.Event(req.id, n))
	}
	return b.String()
}

// check compares the responses that callers got with the requests that backend
// servers ran.
func (l *requestLog) check(env *environment) {
	runs := map[string]int{}
	for _, s := range env.servers {
		for _, run := range s.Runs() {
			runs[run.ID]++
		}
	}
	for id, n := range runs {
		req, ok := l.sent[id]
		if !ok && !strings.HasPrefix(id, "r") {
			l.addViolation("%s ran although no caller sent it", id)
		}
		if once := req.kind == "hold" || req.kind == "once"; once && n > 1 {
			l.addViolation("%s %s ran %d times, at most 1 is allowed", req.kind, id, n)
		}
	}
	l.checkClosedInStop(env)
	l.checkAccounts(env)
	l.checkVersions(env)
	env.usage.check(l)
	for id, got := range l.outcomes {
		req := l.sent[id]
		rejected := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
		if once := req.kind == "hold" || req.kind == "once"; rejected && once && runs[id] > 0 {
			l.addViolation("%s %s was rejected as not run, but ran", req.kind, id)
		}
		if got.status == http.StatusUnauthorized && requestNumber(id)%wrongKeyInterval != 0 {
			l.addViolation("%s %s was denied though its key is valid", req.kind, id)
		}
		if got.status == http.StatusOK && got.err == nil && got.body != expectedBody(req) && got.body != "ok" {
			l.addViolation("%s %s got the wrong answer: %q", req.kind, id, got.body)
		}
	}
}

// checkClosedInStop checks that no request had been passed on whose connection a graceful stop
// closed without an answer.
func (l *requestLog) checkClosedInStop(env *environment) {
	passedOn := env.passedOn()
	for _, id := range l.closedInStop {
		if got := l.outcomes[id]; passedOn[id] && got.took < env.timeouts.shortest(got.sent) {
			l.addViolation("%s %s was passed on and closed by a graceful stop without an answer: %v", l.sent[id].kind, id, got.err)
		}
	}
}
