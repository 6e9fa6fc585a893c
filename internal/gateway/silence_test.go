package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// These are plain tests, because KNOWN-RED.txt names tests of package testing.

const (
	// soundSilence is how long a sound server may be silent.
	soundSilence = 1300 * time.Millisecond
	// patience is the time of a caller, in the wire's format. It leaves time for a
	// silence, the answer and a busy machine.
	patience = "5000"
	// enoughSlack is a retry budget for all requests of a test.
	enoughSlack = 100
)

var silencePrompt = []string{"Token-Count", "200,20", "Prefix-Hash", "aa:200", "Deadline-Ms", patience}

// newSilenceFixture returns a fixture whose routes have the time of patience, with
// servers of the two services.
func newSilenceFixture(t *testing.T, retrySlack float64, engines, plain int) (f *fixture, decode, desk []*runner.BackendServer) {
	RegisterTestingT(t)
	f = startFixture(retrySlack, t.Cleanup)
	text := strings.ReplaceAll(configuration, `"timeoutMs":2000`, `"timeoutMs":`+patience)
	f.store.PutRaw("config", "main", []byte(strings.ReplaceAll(text, "%VERSION%", "1")))
	for n := range engines {
		engine := runner.New(fmt.Sprintf("d-%d", n), "decode")
		engine.EventInterval = 200 * time.Millisecond
		decode = append(decode, f.add("llm", engine))
	}
	for n := range plain {
		desk = append(desk, f.add("plain", runner.New(fmt.Sprintf("p-%d", n), "")))
	}
	f.followUntilKnown(engines + plain)
	return f, decode, desk
}

// start sends a request in the background. The returned function waits for the response.
func (f *fixture) start(method, target, id string, header ...string) (wait func() response) {
	done := make(chan response, 1)
	go func() { done <- f.send(method, target, id, header...) }()
	return sync.OnceValue(func() response { return <-done })
}

// startStreams sends one request for a stream for each ID.
func (f *fixture) startStreams(target string, ids []string) (waits []func() response) {
	for _, id := range ids {
		waits = append(waits, f.start(http.MethodPost, target, id, silencePrompt...))
	}
	return waits
}

func expectWholeStreams(waits []func() response, ids []string) {
	for n, wait := range waits {
		got := wait()
		Expect(got.err).NotTo(HaveOccurred(), ids[n])
		Expect(got.status).To(Equal(http.StatusOK), "%s: %s", ids[n], got.body)
		Expect(got.body).To(Equal(streamEvents(ids[n], 1, 3)), ids[n])
	}
}

func requestIDs(count int) (ids []string) {
	for n := range count {
		ids = append(ids, fmt.Sprintf("r%d", n))
	}
	return ids
}

func sum(servers []*runner.BackendServer, of func(*runner.BackendServer) int) (total int) {
	for _, s := range servers {
		total += of(s)
	}
	return total
}

func runCount(s *runner.BackendServer) int { return len(s.Runs()) }

func silence(servers ...*runner.BackendServer) {
	for _, s := range servers {
		s.Silence()
	}
}

func resume(servers ...*runner.BackendServer) {
	for _, s := range servers {
		s.Resume()
	}
}

// busiestFirst sorts servers by their number of running requests.
func busiestFirst(servers []*runner.BackendServer) []*runner.BackendServer {
	return slices.SortedStableFunc(slices.Values(servers), func(a, b *runner.BackendServer) int { return b.InFlight() - a.InFlight() })
}

// resumeAllButTheHolder waits until one of two silent servers holds a request and resumes
// the other one.
func resumeAllButTheHolder(servers []*runner.BackendServer) (holder, other *runner.BackendServer) {
	Eventually(func() int { return sum(servers, (*runner.BackendServer).Held) }).Should(Equal(1))
	holder, other = servers[0], servers[1]
	if holder.Held() == 0 {
		holder, other = other, holder
	}
	other.Resume()
	return holder, other
}

// runsOf returns how often a server ran a request.
func runsOf(s *runner.BackendServer, id string) (n int) {
	for _, run := range s.Runs() {
		if run.ID == id {
			n++
		}
	}
	return n
}

// Guards against cutting answers that would complete: two of three engines are silent for
// a second within many streams, more than the retry budget allows to resume elsewhere.
func TestSilentServersDoNotCutStreamsBeyondTheRetryBudget(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, 2, 3, 0)
	ids := requestIDs(8)
	waits := f.startStreams("/stream-again/1", ids)
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(len(ids)))
	silent := busiestFirst(decode)[:2]
	silence(silent...)
	time.Sleep(soundSilence)
	resume(silent...)
	expectWholeStreams(waits, ids)
}

// Guards against cutting answers when there is no better engine: all are silent for a
// second within their streams.
func TestSilentServersDoNotCutStreamsWhenAllAreSilent(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 3, 0)
	ids := requestIDs(8)
	waits := f.startStreams("/stream-again/1", ids)
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(len(ids)))
	silence(decode...)
	time.Sleep(soundSilence)
	resume(decode...)
	expectWholeStreams(waits, ids)
}

// Guards against failing a request that may not be sent again for lack of retry budget:
// its engine is silent for a second before the response.
func TestSilentServersBeforeTheHeadDoNotFailRequestsBeyondTheRetryBudget(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, 0, 2, 0)
	silence(decode...)
	ids := requestIDs(4)
	waits := f.startStreams("/stream-again/1", ids)
	Eventually(func() int { return sum(decode, (*runner.BackendServer).Held) }).Should(Equal(len(ids)))
	time.Sleep(soundSilence)
	resume(decode...)
	expectWholeStreams(waits, ids)
}

// Guards against callers that leave without the rest of a stream: its engine is silent
// for good after the first event.
func TestSilentServersForGoodAreLeftByResumableStreams(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	waits := f.startStreams("/stream-again/1", []string{"r0"})
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(1))
	engine := busiestFirst(decode)[0]
	engine.Silence()
	expectWholeStreams(waits, []string{"r0"})
	Eventually(engine.InFlight).Should(BeZero(), "the stream that was left is canceled")
	engine.Resume()
	Expect(runsOf(engine, "r0")).To(Equal(1))
}

// Guards against callers that leave without an answer: the engine of a resumable stream
// is silent for good before the response.
func TestSilentServersForGoodAreLeftBeforeTheHead(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	silence(decode...)
	waits := f.startStreams("/stream-again/1", []string{"r0"})
	engine, other := resumeAllButTheHolder(decode)
	expectWholeStreams(waits, []string{"r0"})
	Eventually(engine.Held).Should(BeZero(), "the request that was left is canceled")
	engine.Resume()
	Expect(runsOf(engine, "r0")).To(BeZero())
	Expect(runsOf(other, "r0")).To(Equal(1))
}

// Guards against cutting or repeating a stream that may run only once: its engine is
// silent for a second within it, and another engine is free.
func TestSilentServersDoNotCutOrRepeatStreamsThatMayRunOnce(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	ids := requestIDs(2)
	waits := f.startStreams("/stream-once/1", ids)
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(len(ids)))
	silence(decode...)
	time.Sleep(soundSilence)
	resume(decode...)
	expectWholeStreams(waits, ids)
	Expect(sum(decode, runCount)).To(Equal(len(ids)))
}

// Guards against failing or repeating an unsafe request: its server is silent for a
// second before the response, and another server is free.
func TestSilentServersDoNotFailOrRepeatUnsafeRequests(t *testing.T) {
	f, _, desk := newSilenceFixture(t, enoughSlack, 0, 2)
	silence(desk...)
	wait := f.start(http.MethodPost, "/hold/1", "r0", "Deadline-Ms", patience)
	server, _ := resumeAllButTheHolder(desk)
	time.Sleep(soundSilence)
	server.Resume()
	got := wait()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.status).To(Equal(http.StatusOK), got.body)
	Expect(got.body).To(Equal(runner.Body("r0")))
	Expect(sum(desk, runCount)).To(Equal(1))
}

// Guards against failing a lookup that another server could answer: its server is silent
// for good.
func TestSilentServersForGoodAreLeftBySafeRequests(t *testing.T) {
	f, _, desk := newSilenceFixture(t, enoughSlack, 0, 2)
	silence(desk...)
	wait := f.start(http.MethodGet, "/read/1", "r0", "Deadline-Ms", patience)
	server, _ := resumeAllButTheHolder(desk)
	got := wait()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.status).To(Equal(http.StatusOK), got.body)
	Expect(got.body).To(Equal(runner.Body("r0")))
	Eventually(server.Held).Should(BeZero(), "the request that was left is canceled")
}

// Guards against failing lookups when there is no better server: all are silent for a
// second, within the time of the callers.
func TestSilentServersDoNotFailSafeRequestsWhenAllAreSilent(t *testing.T) {
	f, _, desk := newSilenceFixture(t, 0, 0, 2)
	silence(desk...)
	ids := requestIDs(6)
	var waits []func() response
	for _, id := range ids {
		waits = append(waits, f.start(http.MethodGet, "/read/1", id, "Deadline-Ms", "2000"))
	}
	Eventually(func() int { return sum(desk, (*runner.BackendServer).Held) }).Should(Equal(len(ids)))
	time.Sleep(soundSilence)
	resume(desk...)
	for n, wait := range waits {
		got := wait()
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(got.body).To(Equal(runner.Body(ids[n])))
	}
}

// Guards against a mixed-up or cut stream: an engine is silent, a second one is tried and
// is silent too, and the first one goes on.
func TestSilentServersThatGoOnBeforeTheSecondEngineKeepTheirStream(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	waits := f.startStreams("/stream-again/1", []string{"r0"})
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(1))
	first, second := busiestFirst(decode)[0], busiestFirst(decode)[1]
	silence(first, second)
	Eventually(second.Held).WithTimeout(3*time.Second).Should(Equal(1), "a second engine is tried")
	first.Resume()
	expectWholeStreams(waits, []string{"r0"})
	Eventually(second.Held).Should(BeZero(), "the attempt at the second engine is canceled")
	second.Resume()
	Expect(runsOf(second, "r0")).To(BeZero())
	Expect(runsOf(first, "r0")).To(Equal(1))
}

// Guards against a request that waits for a silent prefill until its deadline, although
// it has not run and another engine is free.
func TestSilentServersForGoodAreLeftByPrefills(t *testing.T) {
	f, _, _ := newSilenceFixture(t, enoughSlack, 1, 0)
	readers := []*runner.BackendServer{f.add("llm", runner.New("f-0", "prefill")), f.add("llm", runner.New("f-1", "prefill"))}
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
	silence(readers...)
	wait := f.start(http.MethodPost, "/stream-once/1", "r0", "Token-Count", "20000,80", "Prefix-Hash", "aa:15000,bb:5000", "Deadline-Ms", patience)
	reader, _ := resumeAllButTheHolder(readers)
	expectWholeStreams([]func() response{wait}, []string{"r0"})
	Eventually(reader.Held).Should(BeZero(), "the prefill that was left is canceled")
}
