package gateway_test

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/decide/streamversion"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/runner"
)

// addVersion starts a decode engine of a software version and waits until it is known.
func (f *fixture) addVersion(id, version string) *runner.BackendServer {
	engine := runner.New(id, "decode")
	engine.Version = version
	f.add("llm", engine)
	Eventually(func() bool {
		_, known := f.dir.View().Servers[id]
		return known
	}).Should(BeTrue())
	return engine
}

// startHeldStream starts a stream at the only engine, of version v1, which holds it before
// its first event.
func startHeldStream(t *testing.T) (f *fixture, first *runner.BackendServer, wait func() response) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 1, 0)
	first = decode[0]
	first.Silence()
	wait = f.startStreams("/stream-again/x", []string{"r1"})[0]
	Eventually(first.Held).Should(Equal(1))
	return f, first, wait
}

// Guards against an answer with events of two software versions: its engine breaks off, and
// an idle engine of another version is there.
func TestBrokenStreamIsResumedAtTheVersionThatBeganIt(t *testing.T) {
	f, first, wait := startHeldStream(t)
	other, same := f.addVersion("d-other", "v2"), f.addVersion("d-same", "v1")
	first.SetFault(runner.TruncatingStream)
	first.Resume()
	expectWholeStreams([]func() response{wait}, []string{"r1"})
	Expect(runCount(other)).To(BeZero())
	Expect(runCount(same)).To(Equal(1))
}

// Guards against an answer that goes on at another version because none of its own is left.
func TestBrokenStreamIsBrokenOffIfOnlyOtherVersionsServe(t *testing.T) {
	f, first, wait := startHeldStream(t)
	other := f.addVersion("d-other", "v2")
	first.SetFault(runner.TruncatingStream)
	first.Resume()
	Expect(wait().err).To(HaveOccurred())
	Expect(runCount(other)).To(BeZero())
}

// Guards against a constraint where there is nothing to fit: no event has been sent.
func TestStreamWithoutEventsGoesOnAtAnyVersion(t *testing.T) {
	f, first, wait := startHeldStream(t)
	other := f.addVersion("d-other", "v2")
	first.SetFault(runner.DroppingAnswers)
	first.Resume()
	expectWholeStreams([]func() response{wait}, []string{"r1"})
	Expect(runCount(other)).To(Equal(1))
}

// Guards against a hedge at another version beside an engine that is silent within a stream.
func TestSilentStreamIsNotMovedToAnotherVersion(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 1, 0)
	first := decode[0]
	wait := f.startStreams("/stream-again/x", []string{"r1"})[0]
	Eventually(func() int { return runCount(first) }).Should(Equal(1))
	first.Silence()
	other := f.addVersion("d-other", "v2")
	Consistently(func() int { return runCount(other) }, soundSilence).Should(BeZero())
	first.Resume()
	expectWholeStreams([]func() response{wait}, []string{"r1"})
}

// versionFixture runs four gateways before two engines of version v1 and two of v2.
func newVersionFixture(t *testing.T) *clusterFixture {
	f := startClusterFixture(&clusterFixture{t: t, store: objectstore.New()}, 4, 2)
	f.version = "v2"
	for range 2 {
		f.startEngine("127.0.0.1:0", "decode")
	}
	f.waitFor("gateways know four engines", func() bool {
		for _, g := range f.gateways {
			if len(g.dir.View().Servers) != 4 {
				return false
			}
		}
		return true
	})
	return f
}

// begin begins a stream at a gateway and leaves it after its first event. It returns the
// version that began it.
func (f *clusterFixture) begin(g *testGateway, id string) string {
	f.t.Helper()
	resp := f.request(g, id)
	defer resp.Body.Close()
	if line, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil || line != "id: 1\n" {
		f.t.Fatalf("%s: first line %q, error %v", id, line, err)
	}
	return f.versionThatRan(id)
}

// takeUp goes on with a stream at a gateway after its first event. It returns the status and
// the version that went on, empty if none did.
func (f *clusterFixture) takeUp(g *testGateway, id, begun string) (int, http.Header, string) {
	f.t.Helper()
	resp := f.request(g, id, "Last-Event-Id", "1", "Resumes", begun)
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header, f.versionThatRan(id)
}

func (f *clusterFixture) request(g *testGateway, id string, header ...string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, g.url+"/stream-again/x", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host, req.Close = "h.example", true
	header = append(header, "Request-Id", id, "Deadline-Ms", "2000", "Token-Count", "200,20")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp
}

// versionThatRan returns the version of the engine that ran a request.
func (f *clusterFixture) versionThatRan(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if runsOf(e, id) > 0 {
			return e.Version
		}
	}
	return ""
}

// Guards against a stream of two versions over a caller's requests: the gateway that began
// it is gone, and any other takes it up.
func TestStreamIsTakenUpAtTheVersionThatBeganIt(t *testing.T) {
	f := newVersionFixture(t)
	const streams = 24
	begun := make([]string, streams)
	for n := range streams {
		begun[n] = f.begin(f.gateways[0], "b"+strconv.Itoa(n))
	}
	f.gateways[0].kill()
	for n, version := range begun {
		id := fmt.Sprintf("t%d", n)
		status, _, got := f.takeUp(f.gateways[1+n%3], id, "b"+strconv.Itoa(n))
		if status != http.StatusOK || got != version {
			t.Errorf("b%d: status %d, begun at %s, taken up at %q", n, status, version, got)
		}
	}
}

// Guards against a stream that goes on at another version after it was taken up once: its
// caller names the request that began it each time.
func TestStreamIsTakenUpAgainAtTheVersionThatBeganIt(t *testing.T) {
	f := newVersionFixture(t)
	version := f.begin(f.gateways[0], "b")
	for n := range 12 {
		if status, _, got := f.takeUp(f.gateways[n%4], fmt.Sprintf("t%d", n), "b"); status != http.StatusOK || got != version {
			t.Errorf("status %d, begun at %s, taken up at %q", status, version, got)
		}
	}
}

// Guards against a guess: no gateway knows the version of a stream while two serve.
func TestStreamOfUnknownVersionIsRejectedWhileTwoServe(t *testing.T) {
	f := newVersionFixture(t)
	for n, begun := range []string{"nobody", ""} {
		began := time.Now()
		status, header, got := f.takeUp(f.gateways[n], fmt.Sprintf("t%d", n), begun)
		if status != http.StatusServiceUnavailable || got != "" || header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q, ran at %q", status, header.Get("Retry-After"), got)
		}
		if elapsed := time.Since(began); elapsed > time.Second {
			t.Errorf("rejected after %v", elapsed)
		}
	}
}

// Guards against a stream that goes on at another version because the servers of its own
// have left.
func TestStreamWhoseVersionHasLeftIsRejected(t *testing.T) {
	f := newVersionFixture(t)
	version := f.begin(f.gateways[0], "b")
	for _, e := range f.engines {
		if e.Version == version {
			f.store.Remove("servers", e.ID)
		}
	}
	f.waitFor("gateways know that two engines have left", func() bool {
		return len(f.gateways[0].dir.View().Servers) == 2 && len(f.gateways[1].dir.View().Servers) == 2
	})
	for n := range 2 {
		if status, _, got := f.takeUp(f.gateways[n], fmt.Sprintf("t%d", n), "b"); status != http.StatusServiceUnavailable || got != "" {
			t.Errorf("status %d, begun at %s, ran at %q", status, version, got)
		}
	}
}

// Guards against a stream of two versions after a restart of all gateways, whatever their
// settings say of it: the engines of the version that began the stream have left meanwhile.
func TestStreamBegunBeforeARestartIsNotTakenUpAtAnotherVersion(t *testing.T) {
	f, _, _ := newSilenceFixture(t, enoughSlack, 0, 0)
	other := f.addVersion("d-other", "v2")
	got := f.send(http.MethodPost, "/stream-again/x", "t", append(silencePrompt, "Last-Event-Id", "1", "Resumes", "begun")...)
	Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	Expect(runCount(other)).To(BeZero())
}

// Guards against a stream of two versions at a gateway that was out of step: while it did not
// reach the store, a server of another version came, began the stream through another gateway
// and left.
func TestStreamBegunWhileTheGatewayWasOutOfStepIsNotTakenUpAtAnotherVersion(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 1, 0)
	takeUp := func(id string) int {
		return f.send(http.MethodPost, "/stream-again/x", id, append(silencePrompt, "Last-Event-Id", "1", "Resumes", "begun-"+id)...).status
	}
	// No other version can have begun a stream within its longest life.
	Eventually(func() int { return takeUp("before-" + strconv.FormatInt(time.Now().UnixNano(), 10)) }, 15*time.Second, 500*time.Millisecond).Should(Equal(http.StatusOK))
	runs := runCount(decode[0])
	f.store.SetFaults(objectstore.Faults{Unavailable: true})
	other := runner.New("d-other", "decode")
	other.Version = "v2"
	f.store.Put("servers", other.ID, other.Registration("llm", "127.0.0.1:9", "z", "ready"))
	time.Sleep(3 * time.Second)
	f.store.Remove("servers", other.ID)
	f.store.SetFaults(objectstore.Faults{})
	Eventually(f.dir.StoreUnreachable).Should(BeFalse())
	Expect(takeUp("after")).To(Equal(http.StatusServiceUnavailable))
	Expect(runCount(decode[0])).To(Equal(runs))
}

// Guards against a gateway that vouches for a time in which the store came back without servers
// that the asking gateway does not know.
func TestGatewayStatesNoVersionToOneThatKnowsAnotherEra(t *testing.T) {
	f, _, _ := newSilenceFixture(t, enoughSlack, 1, 0)
	query := streamversion.Query{Service: streamversion.HashOf("llm")}
	Eventually(func() bool { return f.gateway.ServedVersions(query).Certain() }).Should(BeTrue())
	query.Era = 1
	Expect(f.gateway.ServedVersions(query)).To(Equal(streamversion.Served{}))
}

// Guards against streams of two versions after all gateways were killed at once during a
// release: nobody knows where the streams began, and both versions serve or the old one has left.
func TestStreamsAreNotJoinedFromTwoVersionsAfterAllGatewaysWereKilled(t *testing.T) {
	for name, oldLeaves := range map[string]bool{"both versions serve": false, "the old version has left": true} {
		t.Run(name, func(t *testing.T) {
			f := newVersionFixture(t)
			const streams = 12
			begun, old := make([]string, streams), ""
			for n := range streams {
				begun[n] = f.begin(f.gateways[n%4], "b"+strconv.Itoa(n))
				old = begun[0]
			}
			for n := range f.gateways {
				f.gateways[n].kill()
			}
			for _, e := range f.engines {
				if oldLeaves && e.Version == old {
					f.store.Remove("servers", e.ID)
				}
			}
			for n := range f.gateways {
				f.gateways[n] = f.startGateway(n)
			}
			f.waitFor("gateways know each other and the engines", func() bool {
				return !slices.ContainsFunc(f.gateways, func(g *testGateway) bool {
					return len(g.dir.View().Servers) == 0 || g.peers.GatewayCount() != 4
				})
			})
			for n, version := range begun {
				status, _, got := f.takeUp(f.gateways[(n+1)%4], fmt.Sprintf("t%d", n), "b"+strconv.Itoa(n))
				if got != "" && got != version {
					t.Errorf("b%d: status %d, begun at %s, taken up at %q", n, status, version, got)
				}
			}
		})
	}
}

// Guards against streams of two versions from plain services, whose routes may be resumed too.
func TestStreamOfAPlainServiceIsTakenUpAtTheVersionThatBeganIt(t *testing.T) {
	f, _, desk := newSilenceFixture(t, enoughSlack, 0, 1)
	const route = `{"name":"feed","hostname":"h.example","pathPrefix":"/stream-feed/","routeType":"streaming","timeoutMs":2000,"serviceName":"plain","maxAttempts":2,"resumable":true},`
	text := strings.Replace(configuration, `"routes":[`, `"routes":[`+route, 1)
	f.store.PutRaw("config", "main", []byte(strings.ReplaceAll(text, "%VERSION%", "2")))
	Eventually(func() int { return f.send(http.MethodPost, "/stream-feed/x", "begun").status }).Should(Equal(http.StatusOK))
	other := runner.New("p-other", "")
	other.Version = "v2"
	f.add("plain", other)
	Eventually(func() int { return len(f.dir.View().Servers) }).Should(Equal(2))
	takeUp := func(id, resumes string) response {
		return f.send(http.MethodPost, "/stream-feed/x", id, "Last-Event-Id", "1", "Resumes", resumes)
	}
	for n := range 8 {
		got := takeUp(fmt.Sprintf("t%d", n), "begun")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(streamEvents(fmt.Sprintf("t%d", n), 2, 3)))
	}
	Expect(runCount(other)).To(BeZero())
	Expect(takeUp("u", "nobody").status).To(Equal(http.StatusServiceUnavailable))
	desk[0].SetFault(runner.Shedding)
	Expect(takeUp("w", "begun").status).To(Equal(http.StatusServiceUnavailable))
	Expect(runCount(other)).To(BeZero())
}

// Guards against streams that are given up while engines of their version still serve: a
// release has drained all of them, and their drain timeout has not passed.
func TestStreamIsTakenUpAtADrainingEngineOfItsVersion(t *testing.T) {
	f, decode, _ := newSilenceFixture(t, enoughSlack, 1, 0)
	takeUp := func(id string) response {
		return f.send(http.MethodPost, "/stream-again/x", id, append(silencePrompt, "Last-Event-Id", "1", "Resumes", "begun")...)
	}
	Expect(f.send(http.MethodPost, "/stream-again/x", "begun", silencePrompt...).status).To(Equal(http.StatusOK))
	other := f.addVersion("d-other", "v2")
	f.store.Put("servers", decode[0].ID, decode[0].Registration("llm", f.addresses[decode[0].ID], "z", "draining"))
	drained := time.Now()
	Eventually(func() bool { return f.dir.View().Servers[decode[0].ID].Draining }).Should(BeTrue())
	got := takeUp("t1")
	Expect(got.status).To(Equal(http.StatusOK))
	Expect(got.body).To(Equal(streamEvents("t1", 2, 3)))
	time.Sleep(time.Until(drained.Add(2 * time.Second)))
	Expect(takeUp("t2").status).To(Equal(http.StatusServiceUnavailable))
	Expect(runsOf(decode[0], "t2")).To(BeZero())
	Expect(runCount(other)).To(BeZero())
}
