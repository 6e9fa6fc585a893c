package gateway_test

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// noticesFixture is one gateway with servers that state things about themselves.
type noticesFixture struct {
	*clusterFixture
	gateway *testGateway
	sent    atomic.Int64
	servers int
}

func newNoticesFixture(t *testing.T) *noticesFixture {
	f := newClusterFixture(t, 1, 0)
	return &noticesFixture{clusterFixture: f, gateway: f.gateways[0]}
}

// start starts a server, with a role if it is a model engine, and waits until the gateway
// knows it.
func (f *noticesFixture) start(id, role string) *runner.BackendServer {
	f.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	r := runner.New(id, role)
	r.Events, r.EventInterval = 3, time.Millisecond
	server := &http.Server{Handler: r}
	f.t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	r.RegisterKVSource(address)
	service := "llm"
	if role == "" {
		service = "plain"
	}
	f.store.Put("servers", id, r.Registration(service, address, "z", "ready"))
	f.servers++
	f.waitFor("the gateway knows the server", func() bool { return len(f.gateway.dir.View().Servers) == f.servers })
	return r
}

// The targets of requests.
const (
	plainTarget  = "/read/1"
	streamTarget = "/stream-again/1"
)

// prompt returns the headers of a request with its own prompt of 1,000 tokens.
func (f *noticesFixture) prompt() []string {
	return []string{"Token-Count", "1000,10", "Prefix-Hash", fmt.Sprintf("%x:1000", 0xa00+f.sent.Load())}
}

// send sends a request with its own ID and returns the response.
func (f *noticesFixture) send(target, body string, header ...string) response {
	id := "n" + strconv.FormatInt(f.sent.Add(1), 10)
	req, err := http.NewRequest(http.MethodPost, f.gateway.url+target, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return response{err: err}
	}
	req.Host = "h.example"
	req.Close = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// sendUntil sends requests until a server has got one.
func (f *noticesFixture) sendUntil(s *runner.BackendServer, target string, header func() []string) {
	f.t.Helper()
	for range 200 {
		if len(s.RequestTimes()) > 0 {
			return
		}
		f.send(target, "", header()...)
	}
	f.t.Fatalf("%s got none of 200 requests", s.ID)
}

// sendUntilAll sends concurrent requests until each of the servers has got one.
func (f *noticesFixture) sendUntilAll(target string, servers ...*runner.BackendServer) {
	f.t.Helper()
	f.waitFor("all servers got a request", func() bool {
		f.sendConcurrently(target, noHeader)
		return !slices.ContainsFunc(servers, func(s *runner.BackendServer) bool { return len(s.RequestTimes()) == 0 })
	})
}

func noHeader() []string { return nil }

// checkTime is how long requests are sent to see that none reaches a server: longer than
// an engine that rejects requests is avoided in any case.
const checkTime = 1200 * time.Millisecond

// checkNoMore sends concurrent requests and checks that the server gets none of them.
func (f *noticesFixture) checkNoMore(s *runner.BackendServer, target string, header func() []string) {
	f.t.Helper()
	before := len(s.RequestTimes())
	sent := f.sent.Load()
	for began := time.Now(); time.Since(began) < checkTime; time.Sleep(10 * time.Millisecond) {
		f.sendConcurrently(target, header)
	}
	if after := len(s.RequestTimes()); after > before {
		f.t.Errorf("%s got %d of %d requests after what it had stated", s.ID, after-before, f.sent.Load()-sent)
	}
}

// sendConcurrently sends a few requests at a time, so that they spread over the servers.
func (f *noticesFixture) sendConcurrently(target string, header func() []string) {
	const requests = 4
	var wait sync.WaitGroup
	for range requests {
		wait.Go(func() { f.send(target, "", header()...) })
	}
	wait.Wait()
}

// stating makes a server state something in one kind of answer.
type stating struct {
	name  string
	state func(s *runner.BackendServer)
}

// leavingIn returns a server that says in answers of this kind that it is leaving. fault
// makes it give such answers.
func leavingIn(name string, kind runner.AnswerKinds, fault runner.Fault) stating {
	return stating{name, func(s *runner.BackendServer) { s.SetLeaving(kind); s.SetFault(fault) }}
}

// Guards against requests to a plain server that has said that it is leaving, in
// whichever kind of answer, while the store still lists it.
func TestNoRequestReachesAPlainServerThatLeaves(t *testing.T) {
	for _, c := range []stating{
		leavingIn("success", runner.Successes, runner.Healthy),
		leavingIn("failure", runner.Failures, runner.Failing),
		leavingIn("rejection", runner.NotRun, runner.Shedding),
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newNoticesFixture(t)
			a := f.start("i-a", "")
			f.start("i-b", "")
			c.state(a)
			f.sendUntil(a, plainTarget, noHeader)
			f.checkNoMore(a, plainTarget, noHeader)
		})
	}
}

// Guards against the same for engines, also if only answers say so that no caller gets.
func TestNoRequestReachesAnEngineThatLeaves(t *testing.T) {
	for _, c := range []struct {
		stating
		role, other string
	}{
		{leavingIn("stream", runner.Streams, runner.Healthy), "decode", "prefill"},
		{leavingIn("failure", runner.Failures, runner.Failing), "decode", "prefill"},
		{leavingIn("rejection", runner.NotRun, runner.Shedding), "decode", "prefill"},
		{leavingIn("prefill", runner.Prefills, runner.Healthy), "prefill", "decode"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newNoticesFixture(t)
			f.start("i-o", c.other)
			a := f.start("i-a", c.role)
			c.state(a)
			f.sendUntil(a, streamTarget, f.prompt)
			f.start("i-b", c.role)
			f.checkNoMore(a, streamTarget, f.prompt)
		})
	}
}

// Guards against a server that is never used again after a restart under its ID.
func TestServerThatLeftIsUsedAgainAfterARestart(t *testing.T) {
	f := newNoticesFixture(t)
	a := f.start("i-a", "")
	address := f.gateway.dir.View().Servers["i-a"].Address
	a.SetLeaving(runner.EveryAnswer)
	f.sendUntil(a, plainTarget, noHeader)
	f.checkNoMore(a, plainTarget, noHeader)
	time.Sleep(2 * time.Millisecond)
	a.Restart()
	f.store.Put("servers", "i-a", a.Registration("plain", address, "z", "ready"))
	f.waitFor("the restarted server gets a request", func() bool { return f.send(plainTarget, "").status == http.StatusOK })
}

// rest is the time for which servers of these tests ask.
const rest = 1200 * time.Millisecond

// Guards against requests to a server within the rest that it has asked for, and against
// one that is never asked again afterwards.
func TestNoRequestReachesAServerThatRests(t *testing.T) {
	for _, c := range []struct {
		role, other, target string
		// optional says that requests may do without the server afterwards as well.
		optional bool
	}{
		{role: "", target: plainTarget},
		{role: "decode", other: "prefill", target: streamTarget},
		{role: "prefill", other: "decode", target: streamTarget, optional: true},
	} {
		t.Run(cmp.Or(c.role, "plain"), func(t *testing.T) {
			f := newNoticesFixture(t)
			if c.other != "" {
				f.start("i-o", c.other)
			}
			a := f.start("i-a", c.role)
			a.SetRest(strconv.FormatFloat(rest.Seconds(), 'f', 2, 64))
			f.sendUntil(a, c.target, f.prompt)
			asked := a.RequestTimes()[0]
			a.SetRest("")
			for time.Since(asked) < rest+3*time.Second && len(a.RequestTimes()) < 2 {
				f.send(c.target, "", f.prompt()...)
				time.Sleep(10 * time.Millisecond)
			}
			times := a.RequestTimes()
			if len(times) < 2 {
				if !c.optional {
					t.Error("no request after the rest")
				}
				return
			}
			if got := times[1].Sub(asked); got < rest {
				t.Errorf("the next request came %v after the server had asked for %v of rest", got, rest)
			}
		})
	}
}

// Guards against an engine that has said that it is leaving being chosen for a request
// that another engine rejected, with the prompt already prefilled.
func TestReassignedDecoderIsNotOneThatLeaves(t *testing.T) {
	f := newNoticesFixture(t)
	f.start("i-p", "prefill")
	leaving := f.start("i-a", "decode")
	leaving.SetLeaving(runner.Streams)
	f.sendUntil(leaving, streamTarget, f.prompt)
	for n := range 3 {
		f.start("i-b"+strconv.Itoa(n), "decode").SetFault(runner.Shedding)
	}
	f.checkNoMore(leaving, streamTarget, f.prompt)
}

// Guards against a stream that is resumed at an engine that has said that it is leaving.
func TestResumedStreamDoesNotGoToAnEngineThatLeaves(t *testing.T) {
	f := newNoticesFixture(t)
	leaving := f.start("i-a", "decode")
	leaving.SetLeaving(runner.Streams)
	f.sendUntil(leaving, streamTarget, noHeader)
	for n := range 2 {
		f.start("i-b"+strconv.Itoa(n), "decode").SetFault(runner.TruncatingStream)
	}
	f.checkNoMore(leaving, streamTarget, noHeader)
}

// Guards against a request under suspicion of terminating servers that goes to one that
// has said that it is leaving.
func TestSuspectedRequestDoesNotGoToAnEngineThatLeaves(t *testing.T) {
	f := newNoticesFixture(t)
	leaving := f.start("i-a", "decode")
	leaving.SetLeaving(runner.Streams)
	f.sendUntil(leaving, streamTarget, noHeader)
	suspect := request.Request{Method: http.MethodPost, Target: streamTarget, Host: "h.example", Body: []byte("suspect")}
	f.gateway.RemoteTermination(quarantine.Evidence{
		Request: suspect.Fingerprint(), Instance: backend.Instance{ID: "i-gone"}, SentAt: time.Now().Add(-time.Second), ObservedAt: time.Now(),
	})
	before := len(leaving.RequestTimes())
	f.send(streamTarget, "suspect")
	if after := len(leaving.RequestTimes()); after > before {
		t.Error("an engine that leaves got a suspected request")
	}
}

// Guards against a plan that was made before the engine said that it is leaving and is
// carried out after it: the prompt is prefilled in between.
func TestPlanFromBeforeANoticeIsNotCarriedOutAfterIt(t *testing.T) {
	for _, c := range []stating{
		leavingIn("leaving", runner.EveryAnswer, runner.Healthy),
		{"rest", func(s *runner.BackendServer) { s.SetRest("3") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newNoticesFixture(t)
			p := f.start("i-p", "prefill")
			a := f.start("i-a", "decode")
			release := p.HoldPrefills()
			planned := make(chan response, 1)
			header := f.prompt()
			go func() { planned <- f.send(streamTarget, "planned", header...) }()
			f.waitFor("the prompt is being prefilled", func() bool { return len(p.RequestTimes()) == 1 })
			c.state(a)
			f.sendUntil(a, streamTarget, noHeader)
			before := len(a.RequestTimes())
			f.start("i-b", "decode")
			release()
			if got := <-planned; got.status != http.StatusOK {
				t.Errorf("status %d, want 200: %s", got.status, got.body)
			}
			if after := len(a.RequestTimes()); after > before {
				t.Errorf("the engine got %d requests after what it had stated", after-before)
			}
		})
	}
}

// Guards against a request to free KV cache that goes to an engine that has said that it
// is leaving.
func TestMemoryIsNotFreedAtAnEngineThatLeaves(t *testing.T) {
	f := newNoticesFixture(t)
	p := f.start("i-p", "prefill")
	p.SetLeaving(runner.Prefills)
	f.start("i-d", "decode").SetFault(runner.Shedding)
	f.sendUntil(p, streamTarget, f.prompt)
	time.Sleep(200 * time.Millisecond)
	if n := p.Freed(); n > 0 {
		t.Errorf("the engine got %d requests to free memory", n)
	}
}

// Guards against requests that wait, or are sent all the same, while every server of the
// service rests or leaves.
func TestRequestsAreRejectedAtOnceWhenAllServersRestOrLeave(t *testing.T) {
	for name, c := range map[string]struct {
		role, target string
		state        func(s *runner.BackendServer)
		// The Retry-After is between these, in seconds.
		least, most float64
	}{
		"plain servers rest":  {"", plainTarget, func(s *runner.BackendServer) { s.SetRest("0.6") }, 0.2, 0.6},
		"engines rest":        {"decode", streamTarget, func(s *runner.BackendServer) { s.SetRest("0.6") }, 0.2, 0.6},
		"plain servers leave": {"", plainTarget, func(s *runner.BackendServer) { s.SetLeaving(runner.EveryAnswer) }, 0.25, 0.35},
		"engines leave":       {"decode", streamTarget, func(s *runner.BackendServer) { s.SetLeaving(runner.EveryAnswer) }, 0.25, 0.35},
	} {
		t.Run(name, func(t *testing.T) {
			f := newNoticesFixture(t)
			a, b := f.start("i-a", c.role), f.start("i-b", c.role)
			c.state(a)
			c.state(b)
			f.sendUntilAll(c.target, a, b)
			before := len(a.RequestTimes()) + len(b.RequestTimes())
			began := time.Now()
			got := f.send(c.target, "")
			if took := time.Since(began); took > 200*time.Millisecond {
				t.Errorf("the answer took %v, want it at once", took)
			}
			if got.status != http.StatusServiceUnavailable {
				t.Fatalf("status %d, want 503", got.status)
			}
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if err != nil || after < c.least || after > c.most {
				t.Errorf("Retry-After %q, want %v to %v", got.header.Get("Retry-After"), c.least, c.most)
			}
			if sent := len(a.RequestTimes()) + len(b.RequestTimes()) - before; sent > 0 {
				t.Errorf("the servers got %d requests", sent)
			}
		})
	}
}
