package soakproc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

const (
	// stopCallersEach is the number of callers of a gateway, each with one connection.
	stopCallersEach = 12
	// Answers take minWork to maxWork, which is longer than the grace period.
	minWork = 5 * time.Millisecond
	maxWork = 9 * time.Second
	// workEvents is the number of events of a stream.
	workEvents = 10
	// overdue is how long after its deadline a request is given up.
	overdue = 3 * time.Second
	// redialPause is the time after a connection or a request was rejected.
	redialPause = 100 * time.Millisecond
	// slowBodyParts is the number of parts in which a slow body comes.
	slowBodyParts = 6
)

// stopRoute is a route of the runs with planned work only.
type stopRoute struct {
	name, method, routeType string
	timeout                 time.Duration
	attempts                int
	resumable               bool
	// varies says that its timeout changes, comesAndGoes that it is removed and added.
	varies, comesAndGoes bool
}

func (r stopRoute) streams() bool { return r.routeType == "streaming" }

// once reports whether its requests run at most once.
func (r stopRoute) once() bool { return r.routeType == "unsafe" || r.streams() && !r.resumable }

func (r stopRoute) service() string {
	if r.streams() {
		return modelService
	}
	return plainService
}

// stopRoutes have timeouts of 1 to 6 s and, two of them, a longer one than the grace period.
var stopRoutes = []stopRoute{
	{name: "stream-chat", method: "POST", routeType: "streaming", timeout: 6 * time.Second, attempts: 1},
	{name: "stream-essay", method: "POST", routeType: "streaming", timeout: 5 * time.Second, attempts: 2, resumable: true, varies: true},
	{name: "stream-book", method: "POST", routeType: "streaming", timeout: 12 * time.Second, attempts: 1},
	{name: "glance", method: "GET", routeType: "safe", timeout: time.Second, attempts: 2},
	{name: "lookup", method: "GET", routeType: "safe", timeout: 6 * time.Second, attempts: 2, varies: true},
	{name: "passing", method: "GET", routeType: "safe", timeout: 3 * time.Second, attempts: 2, comesAndGoes: true},
	{name: "place", method: "POST", routeType: "unsafe", timeout: 4 * time.Second, attempts: 1},
	{name: "archive", method: "POST", routeType: "unsafe", timeout: 12 * time.Second, attempts: 1},
}

// stopCall is a request around planned work and how it ended.
type stopCall struct {
	id      string
	route   stopRoute
	gateway *gateway
	// timeout is the caller's. work is what the answer takes at a server of full speed, and
	// bodyTime the time in which the body comes.
	timeout, work, bodyTime time.Duration

	// began is when the first byte was sent, sent when the last one was; zero if it was not.
	began, sent, ended time.Time
	status             int
	body               string
	// err is why there is no whole answer.
	err error
	// refused says that there was no connection to send it on.
	refused bool
}

// whole reports whether the request has a whole answer.
func (c *stopCall) whole() bool { return c.err == nil }

// newStopCall returns a random request.
func newStopCall(r *rand.Rand, id string, g *gateway, slowBody bool) *stopCall {
	c := &stopCall{id: id, route: stopRoutes[r.IntN(len(stopRoutes))], gateway: g}
	if slowBody {
		c.route = stopRoutes[len(stopRoutes)-1-r.IntN(2)]
		c.bodyTime = between(r, 100*time.Millisecond, 4*time.Second)
	}
	c.timeout = time.Duration(float64(c.route.timeout) * (0.7 + 0.8*r.Float64())).Truncate(time.Millisecond)
	c.work = min(logUniform(r, minWork, maxWork), c.route.timeout*5/4)
	return c
}

// logUniform returns a duration whose logarithm is uniform.
func logUniform(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return time.Duration(float64(shortest) * math.Pow(float64(longest)/float64(shortest), r.Float64()))
}

// workAt returns the work of a run that callers of this file have sent, at a server that is
// slower by a factor.
func workAt(slower int) func(runner.Run) runner.Work {
	return func(run runner.Run) runner.Work {
		target, err := url.Parse(run.Target)
		if err != nil {
			return runner.Work{Events: workEvents}
		}
		ms, _ := strconv.Atoi(target.Query().Get("work"))
		d := time.Duration(ms*slower) * time.Millisecond
		if !strings.Contains(run.Target, "stream") {
			return runner.Work{Delay: d}
		}
		return runner.Work{Delay: d / workEvents, Events: workEvents, Interval: d / workEvents}
	}
}

// expected returns the body of a success.
func (c *stopCall) expected() string {
	if !c.route.streams() {
		return runner.Body(c.id)
	}
	var b strings.Builder
	for n := 1; n <= workEvents; n++ {
		b.WriteString(runner.Event(c.id, n))
	}
	return b.String()
}

// exchange sends the request and reads the answer.
func (c *stopCall) exchange(conn net.Conn, answers *bufio.Reader) (closing bool) {
	c.began = time.Now()
	defer func() { c.ended = time.Now() }()
	if c.err = conn.SetDeadline(c.began.Add(c.timeout + overdue)); c.err != nil {
		return true
	}
	if c.write(conn) == nil {
		c.sent = time.Now()
	}
	resp, err := http.ReadResponse(answers, &http.Request{Method: c.route.method})
	if err != nil {
		c.err = err
		return true
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	c.status, c.body, c.err = resp.StatusCode, string(data), err
	return resp.Close || err != nil || c.sent.IsZero()
}

// write sends the request; a slow body comes in chunks or in parts of its length.
func (c *stopCall) write(conn net.Conn) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/?work=%d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.route.method, c.route.name, c.work.Milliseconds(), c.id, c.timeout.Milliseconds())
	fmt.Fprintf(&b, "Authorization: Bearer %s\r\nToken-Count: 2000,20\r\nPrefix-Hash: aa:1500,%x:500\r\n", lastingKey(accountNames[0]), len(c.id))
	part, end := "part\n", ""
	switch {
	case c.route.method == http.MethodGet:
		b.WriteString("\r\n")
	case c.work.Milliseconds()%2 == 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		part, end = fmt.Sprintf("%x\r\n%s\r\n", len(part), part), "0\r\n\r\n"
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", slowBodyParts*len(part))
	}
	if c.bodyTime == 0 && c.route.method != http.MethodGet {
		b.WriteString(strings.Repeat(part, slowBodyParts) + end)
	}
	if _, err := io.WriteString(conn, b.String()); err != nil || c.bodyTime == 0 {
		return err
	}
	for n := range slowBodyParts {
		time.Sleep(c.bodyTime / slowBodyParts)
		if n == slowBodyParts-1 {
			part += end
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
	}
	return nil
}

// givenUp reports whether the caller gave up the request.
func (c *stopCall) givenUp() bool { return errors.Is(c.err, os.ErrDeadlineExceeded) }

// stopCalls are the requests of a run.
type stopCalls struct {
	mu   sync.Mutex
	list []*stopCall
}

func (l *stopCalls) add(c *stopCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, c)
}

// startStopCallers starts the callers of all gateways, which use their connections until the
// process is gone. The returned function stops them and leaves out what they wait for.
func (env *environment) startStopCallers(seed uint64) (calls *stopCalls, stop func()) {
	calls = &stopCalls{}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, g := range env.gateways {
		for n := range stopCallersEach {
			callers.Go(func() {
				r := rand.New(rand.NewPCG(seed, uint64(1000+100*i+n)))
				for k := 0; wait(ctx, 0); k++ {
					connection := fmt.Sprintf("s%d-%d-%d", i, n, k)
					if !calls.useConnection(ctx, r, g, connection, n%4) {
						wait(ctx, redialPause)
					}
				}
			})
		}
	}
	return calls, func() {
		cancel()
		callers.Wait()
	}
}

// The kinds of callers, besides those that send a request as soon as they have an answer.
const (
	// openEarly opens connections that it uses only seconds later, for one or two requests.
	openEarly = 2
	// sendSlowly sends bodies slowly.
	sendSlowly = 3
)

// useConnection opens a connection and sends requests on it until it ends. It returns false
// if it or its last request was rejected.
func (l *stopCalls) useConnection(ctx context.Context, r *rand.Rand, g *gateway, name string, kind int) bool {
	conn, err := net.DialTimeout("tcp4", g.address, time.Second)
	if err != nil {
		now := time.Now()
		l.add(&stopCall{id: name, gateway: g, began: now, ended: now, refused: true, err: err})
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	answers := bufio.NewReader(conn)
	for n, pause := 0, time.Duration(0); ; n, pause = n+1, 0 {
		switch {
		case kind == openEarly:
			pause = between(r, 200*time.Millisecond, 5*time.Second)
		case r.IntN(6) == 0:
			pause = between(r, 0, time.Second)
		}
		if !wait(ctx, pause) || kind == openEarly && n == 2 {
			return true
		}
		c := newStopCall(r, fmt.Sprintf("%s-%d", name, n), g, kind == sendSlowly)
		closing := c.exchange(conn, answers)
		if ctx.Err() != nil {
			return true
		}
		l.add(c)
		rejected := c.status == http.StatusServiceUnavailable
		if closing || rejected && !wait(ctx, redialPause) {
			return !rejected
		}
	}
}
