package gateway_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	jsonlog "github.com/apex/log/handlers/json"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"pistachioroad.dev/pistachioroad/internal/boottime"
	"pistachioroad.dev/pistachioroad/internal/closeframed"
	"pistachioroad.dev/pistachioroad/internal/deployment"
	"pistachioroad.dev/pistachioroad/internal/gateway"
	"pistachioroad.dev/pistachioroad/internal/readahead"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
	"pistachioroad.dev/pistachioroad/platform"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// faultyCodec panics at the place that the ID of a request names.
type faultyCodec struct{ platform.Codec }

func (c faultyCodec) ParseRequest(r *http.Request, received time.Time) (request.Request, error) {
	panicAt("parse", c.RequestID(r.Header))
	return c.Codec.ParseRequest(r, received)
}

func (c faultyCodec) AppendHead(buf []byte, r *request.Request, o request.Options) []byte {
	panicAt("send", r.ID)
	panicAt(o.Server.ID, r.ID)
	return c.Codec.AppendHead(buf, r, o)
}

func (c faultyCodec) ParseResponse(status int, h http.Header) request.ResponseHead {
	head := c.Codec.ParseResponse(status, h)
	panicAt("response", head.RequestID)
	return head
}

func (faultyCodec) FreeHandle(string) (method, path string) { panic("at FreeHandle") }

func panicAt(place, id string) {
	if strings.HasPrefix(id, place) {
		panic("at " + place)
	}
}

// faultyWriter panics when a part of an answer is written.
type faultyWriter struct {
	http.ResponseWriter
	value any
}

func (w faultyWriter) Write([]byte) (int, error)   { panic(w.value) }
func (w faultyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// linesOf returns the captured lines about a request with a given message.
func linesOf(lines *logBuffer, id, message string) (found []map[string]any) {
	for text := range strings.Lines(lines.String()) {
		var line struct {
			Level, Message string
			Fields         map[string]any
		}
		Expect(json.Unmarshal([]byte(text), &line)).To(Succeed())
		if line.Fields["request"] == id && strings.HasPrefix(line.Message, message) {
			line.Fields["level"] = line.Level
			found = append(found, line.Fields)
		}
	}
	return found
}

// newFaultyFixture returns a gateway with a faultyCodec and one plain server. The header
// Write-Panic makes writes of an answer panic.
func newFaultyFixture(t *testing.T) (*fixture, *runner.BackendServer, *logBuffer) {
	t.Helper()
	RegisterTestingT(t)
	lines := &logBuffer{}
	captured.Store(jsonlog.New(lines))
	t.Cleanup(func() { captured.Store(nil) })
	f := startFixtureWith(100, t.Cleanup, readahead.Limits{})
	f.gateway = gateway.New(gateway.Config{
		Deployment: deployment.Deployment{
			Name: "f-1", DataCentre: "z", MaxMemoryBytes: 64 << 20,
			Bounds: deployment.Bounds{RetryShare: 0.2, RetrySlack: enoughSlack, RetryWindow: 10 * time.Second},
		},
		Codec:     faultyCodec{},
		Directory: f.dir,
		StartedAt: boottime.Now() - time.Minute,
	})
	f.dir.OnChange, f.dir.OnServer = f.gateway.ViewChanged, f.gateway.ServerSeen
	server := f.add("plain", runner.New("i-plain", ""))
	f.configure("1")
	f.followUntilKnown(1)
	f.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Write-Panic") {
		case "fault":
			w = faultyWriter{w, "at write"}
		case "abort":
			w = faultyWriter{w, http.ErrAbortHandler}
		}
		f.gateway.ServeHTTP(w, r)
	}))
	f.server.Config.ConnContext = closeframed.ConnContext
	f.server.Start()
	f.atEnd(f.server.CloseClientConnections)
	return f, server, lines
}

// Guards against a panic that leaves its request without an answer or promises "not run" for a
// request that a server has run.
func TestPanicOfARequestIsAnswered(t *testing.T) {
	f, server, lines := newFaultyFixture(t)
	counted := metrics.GetOrRegisterCounter("gateway.requests.panics", nil)
	for _, test := range []struct {
		id, target string
		status     int
		verdict    verdict.Verdict
	}{
		{"parse-1", "/hold/1", http.StatusServiceUnavailable, verdict.NotRun},
		{"send-1", "/hold/1", http.StatusBadGateway, verdict.MayHaveRun},
		{"response-1", "/hold/1", http.StatusBadGateway, verdict.MayHaveRun},
		{"response-2", "/read/1", http.StatusBadGateway, verdict.MayHaveRun},
	} {
		before := counted.Count()
		got := f.send(http.MethodPost, test.target, test.id)
		if got.err != nil {
			t.Errorf("%s: no answer: %v", test.id, got.err)
			continue
		}
		Expect(got.status).To(Equal(test.status), test.id)
		Expect(got.header.Get(verdict.Header)).To(Equal(test.verdict.String()), test.id)
		Expect(got.header).NotTo(HaveKey("Response-Seal"))
		Expect(counted.Count()-before).To(Equal(int64(1)), test.id)
		Expect(linesOf(lines, test.id, "panic: ")).To(ConsistOf(And(HaveKeyWithValue("level", "error"), HaveKeyWithValue("stack", ContainSubstring("panicAt")))))
		Expect(linesOf(lines, test.id, "request")).To(ConsistOf(And(HaveKeyWithValue("ending", "panic"), Not(HaveKey("aborted")))))
	}
	Expect(runsOf(server, "response-1")).To(Equal(1))
	expectReleased(f, server)
}

// Guards against an answer that is cut by a panic and cannot be found in the log, and against one
// that looks whole.
func TestPanicWithinAnAnswerAbortsItsConnection(t *testing.T) {
	f, server, lines := newFaultyFixture(t)
	counted := metrics.GetOrRegisterCounter("gateway.requests.panics", nil)
	unanswered := metrics.GetOrRegisterCounter("gateway.requests.unanswered.panic", nil)
	before, cut := counted.Count(), unanswered.Count()
	Expect(f.send(http.MethodPost, "/hold/1", "fault-1", "Write-Panic", "fault").err).To(HaveOccurred())
	Expect([]int64{counted.Count() - before, unanswered.Count() - cut}).To(Equal([]int64{1, 1}))
	Expect(linesOf(lines, "fault-1", "request")).To(ConsistOf(And(HaveKeyWithValue("ending", "panic"), HaveKeyWithValue("aborted", true))))
	Expect(f.send(http.MethodPost, "/hold/1", "abort-1", "Write-Panic", "abort").err).To(HaveOccurred())
	Expect([]int64{counted.Count() - before, unanswered.Count() - cut}).To(Equal([]int64{1, 1}))
	expectReleased(f, server)
}

// expectReleased expects that nothing is held for requests that have ended.
func expectReleased(f *fixture, server *runner.BackendServer) {
	Eventually(metrics.GetOrRegisterGauge("gateway.requests.open", nil).Value).Should(BeZero())
	dump := f.gateway.Dump(time.Now())
	Expect(dump.BodyBytes).To(BeZero())
	for _, s := range dump.Servers {
		Expect(s.InFlight).To(BeZero())
	}
	Expect(f.send(http.MethodPost, "/read/1", "after").status).To(Equal(http.StatusOK))
	Expect(runsOf(server, "after")).To(Equal(1))
}

// Guards against a server that gets fewer requests for ever because those that panicked count as
// open there.
func TestPanicsDoNotCountAsOpenAtTheirServer(t *testing.T) {
	f, server, _ := newFaultyFixture(t)
	f.add("plain", runner.New("i-other", ""))
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(2))
	for range 20 {
		f.send(http.MethodPost, "/hold/1", "i-plain-faulty")
	}
	for range 20 {
		Expect(f.send(http.MethodPost, "/hold/1", "sound").status).To(Equal(http.StatusOK))
	}
	Expect(runsOf(server, "sound")).To(BeNumerically(">", 0))
}

// Guards against a search for another server that goes on after its request has panicked, or whose
// own panic cannot be traced to its cause.
func TestPanicWhileAnotherServerIsTriedIsAnswered(t *testing.T) {
	f, first, lines := newFaultyFixture(t)
	f.store.PutRaw("config", "main", []byte(strings.NewReplacer("%VERSION%", "2", `"timeoutMs":2000`, `"timeoutMs":`+patience).Replace(configuration)))
	Eventually(func() int64 { return f.gateway.Dump(time.Now()).ConfigVersion }).Should(Equal(int64(2)))
	for name, id := range map[string]string{"i-other": "response-1", "i-faulty": "i-faulty-1"} {
		first.Silence()
		wait := f.start(http.MethodPost, "/read/1", id, "Deadline-Ms", patience)
		Eventually(first.Held).Should(Equal(1))
		other := runner.New(name, "")
		other.Silence()
		f.add("plain", other)
		if id == "response-1" {
			Eventually(other.Held, "3s").Should(Equal(1))
		} else {
			time.Sleep(soundSilence)
		}
		first.Resume()
		got := wait()
		Expect(got.err).NotTo(HaveOccurred(), id)
		Expect(got.status).To(Equal(http.StatusBadGateway), id)
		Expect(linesOf(lines, id, "panic: at ")).To(ConsistOf(HaveKeyWithValue("stack", ContainSubstring("panicAt"))))
		Eventually(other.Held).Should(BeZero())
		f.store.Remove("servers", name)
		Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(1))
	}
	expectReleased(f, first)
}

// Guards against a panic of work that nobody waits for, which would end the process with all open
// requests.
func TestPanicWhileMemoryIsFreedEndsNoRequest(t *testing.T) {
	f, server, _ := newFaultyFixture(t)
	f.add("llm", runner.New("i-prefill", "prefill"))
	f.add("llm", runner.New("i-decode", "decode")).SetFault(runner.Shedding)
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
	counted := metrics.GetOrRegisterCounter("goroutines.panics", nil)
	before := counted.Count()
	Eventually(func() int64 {
		f.send(http.MethodPost, "/stream-once/1", "unfetched", "Token-Count", "2000,20", "Prefix-Hash", "aa:2000")
		return counted.Count() - before
	}).Should(BeNumerically(">", 0))
	expectReleased(f, server)
}
