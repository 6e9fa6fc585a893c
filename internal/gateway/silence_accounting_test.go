package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/quarantine"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

var splitPrompt = []string{"Token-Count", "20000,20", "Prefix-Hash", "aa:15000,bb:5000", "Deadline-Ms", patience}

// Guards against KV cache that nobody fetches: an engine goes on while another one waits
// to continue its stream with a prompt that was prefilled for that.
func TestSilentServersThatGoOnLeaveNoKVCache(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	prefill := f.add("llm", runner.New("pre-0", "prefill"))
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
	waits := []func() response{f.start(http.MethodPost, "/stream-again/1", "r0", splitPrompt...)}
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(1))
	Expect(prefill.Prefills()).To(HaveLen(1))
	first, second := busiestFirst(decode)[0], busiestFirst(decode)[1]
	silence(first, second)
	Eventually(second.Held).WithTimeout(3*time.Second).Should(Equal(1), "a second engine is tried")
	Expect(prefill.Prefills()).To(HaveLen(2))
	first.Resume()
	expectWholeStreams(waits, []string{"r0"})
	Eventually(prefill.Handles).Should(BeZero())
	second.Resume()
}

// Guards against KV cache that nobody fetches: a silent decode engine has not fetched it
// when the request moves on to another one.
func TestSilentServersThatAreLeftLeaveNoKVCache(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	prefill := f.add("llm", runner.New("pre-0", "prefill"))
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(3))
	silence(decode...)
	wait := f.start(http.MethodPost, "/stream-again/1", "r0", splitPrompt...)
	silent, _ := resumeAllButTheHolder(decode)
	Expect(prefill.Handles()).To(Equal(1))
	expectWholeStreams([]func() response{wait}, []string{"r0"})
	Eventually(silent.Held).Should(BeZero(), "the attempt is canceled")
	Eventually(prefill.Handles).WithTimeout(2 * time.Second).Should(BeZero())
}

// Guards against rejecting prompts that idle engines would answer at once: after their
// engine's silence, answers began late, and that is taken for a delay of all prefills.
func TestSilentServersThatWentOnDoNotMakePromptsLate(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, 0, 3, 0)
	for _, engine := range decode {
		engine.EventInterval = time.Millisecond
	}
	const learned = 60
	for n := range learned {
		Expect(f.send(http.MethodPost, "/stream-again/1", fmt.Sprintf("warm%d", n), silencePrompt...).status).To(Equal(http.StatusOK))
	}
	silence(decode...)
	ids := requestIDs(30)
	waits := f.startStreams("/stream-again/1", ids)
	Eventually(func() int { return sum(decode, (*runner.BackendServer).Held) }).Should(Equal(len(ids)))
	time.Sleep(soundSilence)
	resume(decode...)
	expectWholeStreams(waits, ids)
	for n := range 5 {
		got := f.send(http.MethodPost, "/stream-again/1", fmt.Sprintf("after%d", n), silencePrompt...)
		Expect(got.status).To(Equal(http.StatusOK), got.body)
	}
}

// Guards against rejecting requests that a server has room for: lookups at a silent
// server, which may not be sent again for lack of retry budget, use up the limit that
// another server states.
func TestSilentServersDoNotUseUpTheLimitsOfOthers(t *testing.T) {
	f, _, desk := newSilenceFixture(t, 0, 0, 2)
	silent, other := desk[0], desk[1]
	other.SetLimit("3", runner.AllAnswers)
	silent.Silence()
	ids := requestIDs(8)
	var waits []func() response
	for _, id := range ids {
		waits = append(waits, f.start(http.MethodGet, "/read/1", id, "Deadline-Ms", patience))
	}
	Eventually(silent.Held).Should(BeNumerically(">=", 4))
	time.Sleep(time.Second)
	before := len(other.RequestTimes())
	for n := range 6 {
		time.Sleep(500 * time.Millisecond)
		f.send(http.MethodPost, "/hold/1", fmt.Sprintf("late%d", n), "Deadline-Ms", "400")
	}
	Expect(len(other.RequestTimes())-before).To(BeNumerically(">=", 6), "two requests a second at a server with a limit of three")
	silent.Resume()
	for _, wait := range waits {
		wait()
	}
}

// requestLine is called with the fields of each request's log line.
var requestLine atomic.Pointer[func(log.Fields)]

// The handler is set before any goroutine logs.
func init() {
	next := log.Log.(*log.Logger).Handler
	log.SetHandler(log.HandlerFunc(func(line *log.Entry) error {
		if f := requestLine.Load(); f != nil && line.Message == "request" {
			(*f)(line.Fields)
		}
		return next.HandleLog(line)
	}))
}

// Guards against a request's log line that names an engine which has sent nothing: the
// silent one went on.
func TestSilentServersThatGoOnAreNamedInTheLog(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 2, 0)
	servers := make(chan any, 1)
	record := func(fields log.Fields) {
		if fields["request"] == "logged" {
			servers <- fields["server"]
		}
	}
	requestLine.Store(&record)
	defer requestLine.Store(nil)
	wait := f.start(http.MethodPost, "/stream-again/1", "logged", silencePrompt...)
	Eventually(func() int { return sum(decode, (*runner.BackendServer).InFlight) }).Should(Equal(1))
	first, second := busiestFirst(decode)[0], busiestFirst(decode)[1]
	silence(first, second)
	Eventually(second.Held).WithTimeout(3*time.Second).Should(Equal(1), "a second engine is tried")
	first.Resume()
	expectWholeStreams([]func() response{wait}, []string{"logged"})
	second.Resume()
	Expect(<-servers).To(Equal(first.ID))
}

// Guards against load that is not counted: a stream that has been moved twice counts as
// running at its third engine.
func TestSilentServersStreamMovedTwiceIsCountedAtItsEngine(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 3, 0)
	f.allowThreeAttempts()
	for _, engine := range decode {
		engine.Events, engine.EventInterval = 6, 500*time.Millisecond
	}
	wait := f.start(http.MethodPost, "/stream-again/1", "r0", silencePrompt...)
	running := func() int { return sum(decode, (*runner.BackendServer).InFlight) }
	Eventually(running).Should(Equal(1))
	var last *runner.BackendServer
	for move := range 2 {
		busiestFirst(decode)[0].Silence()
		Eventually(func() int { return sum(decode, runCount) }).WithTimeout(3 * time.Second).Should(Equal(move + 2))
		Eventually(running).Should(Equal(1))
		last = busiestFirst(decode)[0]
		time.Sleep(100 * time.Millisecond)
	}
	Expect(f.gateway.EngineInFlight("llm", last.ID)).To(Equal(1))
	got := wait()
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.body).To(Equal(streamEvents("r0", 1, 6)))
	for _, engine := range decode {
		Expect(f.gateway.EngineInFlight("llm", engine.ID)).To(BeZero(), engine.ID)
	}
}

// Guards against counting placements of requests that are not sent: a stream at a silent
// engine may not be sent again for lack of retry budget.
func TestSilentServersDoNotCountPlacementsThatAreNotSent(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, 0, 2, 0)
	silence(decode...)
	waits := f.startStreams("/stream-again/1", []string{"r0"})
	Eventually(func() int { return sum(decode, (*runner.BackendServer).Held) }).Should(Equal(1))
	time.Sleep(3 * time.Second)
	placements := f.gateway.EnginePlacements("llm")
	resume(decode...)
	expectWholeStreams(waits, []string{"r0"})
	Expect(placements).To(BeEquivalentTo(1), "one request, sent to one engine")
}

// Guards against a request that crashes the servers that run it: under suspicion, it is
// at one server at a time, also while that one is silent.
func TestSilentServersDoNotSpreadSuspectedRequests(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 3, 0)
	suspect := request.Request{Method: http.MethodPost, Host: "h.example", Target: "/stream-again/1", Prompt: request.Prompt{Segments: []request.Segment{{ID: 0xaa, Tokens: 200}}}}
	now := time.Now()
	f.gateway.RemoteTermination(quarantine.Evidence{
		Request: suspect.Fingerprint(), Instance: backend.Instance{ID: "gone", Incarnation: 1},
		SentAt: now.Add(-2 * time.Second), ObservedAt: now.Add(-time.Second),
	})
	silence(decode...)
	waits := f.startStreams("/stream-again/1", []string{"r0"})
	Eventually(func() int { return sum(decode, (*runner.BackendServer).Held) }).Should(Equal(1))
	Consistently(func() int { return sum(decode, (*runner.BackendServer).Held) }).WithTimeout(2*time.Second).Should(Equal(1), "at one engine at a time")
	resume(decode...)
	expectWholeStreams(waits, []string{"r0"})
}
