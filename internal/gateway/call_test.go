package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/availability"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/direct"
	"pistachioroad.dev/pistachioroad/internal/directory"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/routes"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

// Guards against rejecting a retry for being late: an engine stalls for a second, and
// the request, which may have run, is sent to another one. A rejection there would fail
// it with unknown outcome.
func TestRequestsThatMayHaveRunAreNotLate(t *testing.T) {
	now := time.Unix(1_000, 0)
	c := &call{
		received: now.Add(-time.Second),
		deadline: now.Add(4 * time.Second),
		route:    routes.Route{LatencyObjective: 500 * time.Millisecond},
	}
	if u := c.constraints(now); u.Objective != -500*time.Millisecond {
		t.Errorf("not run: objective %v, want -500ms", u.Objective)
	}
	c.verdict = verdict.MayHaveRun
	if u := c.constraints(now); u.Objective != 4*time.Second {
		t.Errorf("may have run: objective %v, want 4s", u.Objective)
	}
}

// Guards against spending attempts and the retry budget on requests that are not sent, and
// against one that is planned for the same server again and again.
func TestRequestToAServerThatLeavesIsNoAttempt(t *testing.T) {
	g := &Gateway{statements: newServerStatements(), terminations: newTerminations()}
	server := backend.Server{ID: "s", Incarnation: 1}
	g.statements.table.Observe(availability.Response{Server: server.Instance(), Leaving: true})
	g.statements.updateCounts(0)
	c := &call{gateway: g, attempts: 1, deadline: time.Now().Add(time.Minute), ctx: context.Background()}
	for range 2 {
		// Without a transport, sending would panic.
		if _, _, err := c.send(c.ctx, server, request.Options{}, nil); err == nil || !withheld(err) || err.Verdict != verdict.NotRun {
			t.Fatalf("error %v, want one of a request that was withheld", err)
		}
	}
	if c.attempts != 1 || c.retryBudgetSpent || !c.excludedServers[server.ID] || !c.mayRetry() {
		t.Errorf("attempts %d, budget spent %v, excluded %v, may retry %v", c.attempts, c.retryBudgetSpent, c.excludedServers, c.mayRetry())
	}
}

// Guards against double counting: a request is found to be quarantined at its second
// attempt.
func TestQuarantinedRequestsAreCountedOnce(t *testing.T) {
	g := &Gateway{terminations: newTerminations()}
	c := &call{gateway: g, cachedFingerprint: 1, deadline: time.Now().Add(time.Minute)}
	for i := range quarantine.TerminationThreshold {
		ended := time.Now().Add(time.Duration(i) * time.Second)
		g.terminations.list.Add(time.Now(), quarantine.Evidence{
			Request: 1, Instance: backend.Instance{ID: strconv.Itoa(i)}, SentAt: ended.Add(-time.Millisecond), ObservedAt: ended,
		})
	}
	counter := metrics.GetOrRegisterCounter("gateway.requests_quarantined", nil)
	before := counter.Count()
	for range 2 {
		if c.checkQuarantine() == nil {
			t.Fatal("not quarantined")
		}
	}
	g.recordMetrics(c)
	if counted := counter.Count() - before; counted != 1 {
		t.Errorf("counted %d times", counted)
	}
}

// prefillCodec decodes the answers to prefills only.
type prefillCodec struct{ Codec }

func (prefillCodec) ParsePrefilled(body []byte) (request.PrefillResult, error) {
	var p struct {
		Handle string `json:"kvHandle"`
	}
	err := json.Unmarshal(body, &p)
	return request.PrefillResult{Handle: p.Handle}, err
}

// Guards against a crash of a prefill engine that goes unnoticed because the cut answer,
// which has neither length nor chunks, ends like a complete one.
func TestCutAnswerToAPrefillCountsAsABrokenConnection(t *testing.T) {
	const whole = `{"kvHandle":"h1","tokens":1}`
	for _, test := range []struct {
		body     string
		unframed bool
		handle   string
		broken   bool
	}{
		{body: whole, unframed: true, handle: "h1"},
		{body: whole[:len(whole)-1], unframed: true, broken: true},
		{body: "", unframed: true, broken: true},
		{body: whole[:len(whole)-1]},
	} {
		g := New(Config{Codec: prefillCodec{}, Directory: directory.New(nil, nil, directory.Kinds{})})
		c := &call{gateway: g, ctx: context.Background(), service: routes.Service{Name: "llm"}}
		c.beginOpen(backend.Server{ID: "s"}, request.PrefillOnly)
		reply := &direct.Reply{Unframed: test.unframed, Body: io.NopCloser(strings.NewReader(test.body))}
		reply.Status = http.StatusOK
		handle, failed := c.endPrefill(c.ctx, backend.Server{ID: "s"}, reply, nil)
		if handle != test.handle || (failed == nil) != (handle != "") || (len(c.trace.unfinished) > 0) != test.broken {
			t.Errorf("%q, unframed %v: handle %q, error %v, broken %v", test.body, test.unframed, handle, failed, c.trace.unfinished)
		}
	}
}
